package org.knapweedmount.standins.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Versions of the operator's configuration, which differ in a timeout and an idle queue. */
final class SoakConfig {
    static final String SERVICE = "soak";

    private static final int TARGET_LATENCY_MILLIS = 60;
    private static final int MAX_ATTEMPTS = 3;
    private static final double STRETCH = 1.6;
    private static final int VERSION_STEP = 3;

    private int version = 1;

    JsonNode next() {
        version += VERSION_STEP;
        ObjectNode config = JsonNodeFactory.instance.objectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        for (JobKind kind : JobKind.values()) {
            addQueue(routes, kind.queue(), kind.pathPrefix(), kind);
        }
        addQueue(routes, "idle-" + version, "/idle-" + version + "/", JobKind.RECEIPT);
        config.putArray("services").addObject().put("name", SERVICE).put("enforcesCapacity", false);
        return config;
    }

    private void addQueue(ArrayNode routes, String name, String prefix, JobKind kind) {
        routes.addObject()
                .put("name", name)
                .put("host", JobKind.HOST)
                .put("pathPrefix", prefix)
                .put("kind", "non_idempotent")
                .put("timeoutMs", kind.deadlineMillis() + version)
                .put("targetLatencyMs", TARGET_LATENCY_MILLIS)
                .put("priority", kind.priority())
                .put("service", SERVICE)
                .put("maxAttempts", MAX_ATTEMPTS)
                .put("stretch", STRETCH);
    }
}
