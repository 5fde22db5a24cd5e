package org.knapweedmount.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Drains and stops an entry. */
final class DrainCommand implements Command {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String summary() {
        return "Drain an entry: it refuses new work and stops when the accepted work is done";
    }

    @Override
    public ExitCode run(CommandContext session) throws CliException {
        ApiResponse answer = session.callOperatorApi(ApiRequest.of("POST", "/v1/drain"));
        return session.printResponse(answer, DrainCommand::format);
    }

    private static String format(JsonNode answer) {
        return answer.isEmpty() ? "draining\n" : answer + "\n";
    }
}
