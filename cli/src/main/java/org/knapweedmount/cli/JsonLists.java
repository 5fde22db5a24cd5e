package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Finds the list in a response. */
final class JsonLists {
    private JsonLists() {}

    /** Returns the array of the given name, or the response itself if it is an array. */
    static JsonNode items(JsonNode response, String name) {
        return response.isArray() ? response : response.path(name);
    }
}
