package org.knapweedmount.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;

/** Lists the audit trail. */
final class AuditCommand implements Command {
    @Parameter(names = "--limit", description = "Largest number of records")
    private int limit = 20;

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String summary() {
        return "List who changed what, newest first";
    }

    @Override
    public ExitCode run(Session session) throws CliException {
        ApiAnswer answer = session.askOperators(ApiRequest.of("GET", "/v1/audit?limit=" + limit));
        return session.show(answer, AuditCommand::text);
    }

    private static String text(JsonNode answer) {
        StringBuilder text = new StringBuilder();
        for (JsonNode entry : JsonLists.items(answer, "records")) {
            text.append(entry).append('\n');
        }
        return text.toString();
    }
}
