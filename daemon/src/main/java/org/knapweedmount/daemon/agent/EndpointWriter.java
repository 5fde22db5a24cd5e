package org.knapweedmount.daemon.agent;

import java.util.List;

import org.knapweedmount.core.agent.EndpointAnnouncement;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.JsonOutput;

/** Writes the endpoints of an agent as JSON for operators. */
final class EndpointWriter {
    private static final int OK_STATUS = 200;

    private EndpointWriter() {}

    static HttpResponse write(List<EndpointAnnouncement> endpoints, int runningTasks) {
        return HttpResponse.of(OK_STATUS, HttpResponse.JSON, JsonOutput.object(json -> {
            json.writeNumberField("running", runningTasks);
            json.writeArrayFieldStart("endpoints");
            for (EndpointAnnouncement endpoint : endpoints) {
                json.writeStartObject();
                json.writeStringField("id", endpoint.id());
                json.writeStringField("service", endpoint.service());
                json.writeStringField("host", endpoint.host());
                json.writeNumberField("port", endpoint.port());
                json.writeNumberField("slots", endpoint.slots());
                json.writeNumberField("connections", endpoint.connections());
                json.writeNumberField("ttlMillis", endpoint.ttlMillis());
                json.writeEndObject();
            }
            json.writeEndArray();
        }));
    }
}
