package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Stops an entry gracefully. */
final class DrainCommand implements Command {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String summary() {
        return "Have the entry take no new work and stop when its work is done";
    }

    @Override
    public ExitCode run(Session session) throws CliException {
        ApiAnswer answer = session.askOperators(ApiRequest.of("POST", "/v1/drain"));
        return session.show(answer, DrainCommand::text);
    }

    private static String text(JsonNode answer) {
        return answer.isEmpty() ? "draining\n" : answer + "\n";
    }
}
