package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Lists the audit trail and the entry's own log of operator requests. */
final class AuditCommand extends ListCommand {
    AuditCommand() {
        super("/v1/audit");
    }

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String summary() {
        return "List who changed what, newest first";
    }

    @Override
    String format(JsonNode response) {
        String trail = response.path("trailRead").asBoolean()
                ? trail(response).toString()
                : "the table service did not respond; log of this entry only:\n";
        return trail + "\n" + events(response);
    }

    private static TextTable trail(JsonNode response) {
        TextTable table = new TextTable("ticket", "when", "author", "token", "entry", "changed");
        for (JsonNode entry : response.path("trail")) {
            table.row(
                    entry.path("number").asText(),
                    entry.path("when").asText(),
                    entry.path("author").asText(),
                    entry.path("token").asText(),
                    entry.path("entry").asText(),
                    String.join(", ", entry.path("changes").findValuesAsText("key")));
        }
        return table;
    }

    private static TextTable events(JsonNode response) {
        TextTable table = new TextTable("when", "event", "ticket", "who", "detail");
        for (JsonNode event : response.path("events")) {
            table.row(
                    event.path("when").asText(),
                    event.path("action").asText(),
                    event.path("number").asText(),
                    event.path("who").asText(),
                    event.path("detail").asText());
        }
        return table;
    }
}
