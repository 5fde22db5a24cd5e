package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Lists accepted tickets. */
final class TicketHistoryCommand extends ListCommand {
    TicketHistoryCommand() {
        super("/v1/tickets");
    }

    @Override
    public String name() {
        return "ticket history";
    }

    @Override
    public String summary() {
        return "List accepted tickets, newest first";
    }

    @Override
    String format(JsonNode response) {
        TextTable table = new TextTable("number", "author", "objects");
        for (JsonNode ticket : JsonLists.items(response, "tickets")) {
            table.row(ticket.path("number").asText(), ticket.path("author").asText(), objects(ticket));
        }
        return table.toString();
    }

    private static String objects(JsonNode ticket) {
        StringBuilder text = new StringBuilder();
        for (JsonNode object : ticket.path("objects")) {
            text.append(text.length() == 0 ? "" : ", ");
            text.append(object.path("removed").asBoolean() ? "-" : "");
            text.append(object.path("type").asText())
                    .append('/')
                    .append(object.path("name").asText());
        }
        return text.toString();
    }
}
