package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Finds the list in an answer. */
final class JsonLists {
    private JsonLists() {}

    /** Returns the array of that name, or the answer itself if it is an array. */
    static JsonNode items(JsonNode answer, String name) {
        return answer.isArray() ? answer : answer.path(name);
    }
}
