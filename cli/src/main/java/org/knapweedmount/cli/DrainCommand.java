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
    public ExitCode run(CommandContext session) throws CliException {
        ApiResponse answer = session.callOperatorApi(ApiRequest.of("POST", "/v1/drain"));
        return session.printResponse(answer, DrainCommand::format);
    }

    private static String format(JsonNode answer) {
        return answer.isEmpty() ? "draining\n" : answer + "\n";
    }
}
