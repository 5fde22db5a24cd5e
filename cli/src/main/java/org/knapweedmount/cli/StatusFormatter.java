package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats the status of an entry or an agent as text tables. */
final class StatusFormatter {
    private static final int PERCENT = 100;

    private StatusFormatter() {}

    static String format(JsonNode status, boolean counters) {
        StringBuilder text = new StringBuilder(process(status));
        text.append('\n').append(entries(status));
        text.append('\n').append(agents(status));
        text.append('\n').append(queues(status));
        text.append('\n').append(shares(status));
        text.append('\n').append(teams(status));
        if (counters) {
            text.append('\n').append(counters(status));
        }
        return text.toString();
    }

    /** Formats the endpoints of an agent. */
    static String endpoints(JsonNode status) {
        TextTable table = new TextTable("endpoint", "service", "address", "slots", "connections", "time to live ms");
        for (JsonNode endpoint : status.path("endpoints")) {
            table.row(
                    endpoint.path("id").asText(),
                    endpoint.path("service").asText(),
                    endpoint.path("host").asText() + ":" + endpoint.path("port").asText(),
                    endpoint.path("slots").asText(),
                    endpoint.path("connections").asText(),
                    endpoint.path("ttlMillis").asText());
        }
        return table + "running tasks: " + status.path("running").asText() + "\n";
    }

    private static String process(JsonNode status) {
        TextTable table = new TextTable("process", "role", "state", "ready", "ticket");
        table.row(
                status.path("incarnation").asText(),
                status.path("role").asText(),
                status.path("state").asText(),
                status.path("ready").asText(),
                status.path("configNumber").asText());
        return table.toString();
    }

    private static String entries(JsonNode status) {
        TextTable table = new TextTable("other entry", "ticket");
        for (JsonNode entry : status.path("entries")) {
            table.row(
                    entry.path("incarnation").asText(),
                    entry.path("configNumber").asText());
        }
        return table.toString();
    }

    private static String agents(JsonNode status) {
        TextTable table = new TextTable("agent", "data centre", "service", "slots", "leases", "open", "ticket");
        for (JsonNode agent : status.path("agents")) {
            table.row(
                    agent.path("incarnation").asText(),
                    agent.path("dataCentre").asText(),
                    agent.path("service").asText(),
                    agent.path("slots").asText(),
                    agent.path("leases").asText(),
                    agent.path("open").asText(),
                    agent.path("configNumber").asText());
        }
        return table.toString();
    }

    private static String queues(JsonNode status) {
        TextTable table = new TextTable("service", "kind", "team", "queued", "oldest wait ms");
        for (JsonNode queue : status.path("queues")) {
            table.row(
                    queue.path("service").asText(),
                    queue.path("kind").asText(),
                    queue.path("team").asText(),
                    queue.path("queued").asText(),
                    queue.path("oldestWaitMillis").asText());
        }
        return table.toString();
    }

    private static String shares(JsonNode status) {
        TextTable table = new TextTable("service", "kind", "weight", "share", "short");
        for (JsonNode kind : status.path("shares")) {
            table.row(
                    kind.path("service").asText(),
                    kind.path("kind").asText(),
                    kind.path("weight").asText(),
                    percent(kind.path("share")),
                    kind.path("shortTask").asText());
        }
        return table.toString();
    }

    private static String teams(JsonNode status) {
        TextTable table = new TextTable("team", "weight", "quota");
        for (JsonNode team : status.path("teams")) {
            table.row(team.path("team").asText(), team.path("weight").asText(), percent(team.path("quotaShare")));
        }
        return table.toString();
    }

    private static String percent(JsonNode share) {
        return Math.round(share.asDouble() * PERCENT) + "%";
    }

    private static String counters(JsonNode status) {
        TextTable table = new TextTable("counter", "value");
        status.path("counters")
                .properties()
                .forEach(counter ->
                        table.row(counter.getKey(), counter.getValue().asText()));
        return table.toString();
    }
}
