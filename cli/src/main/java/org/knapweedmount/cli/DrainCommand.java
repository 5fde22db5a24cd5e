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
    public ExitCode run(CommandContext context) throws CliException {
        ApiResponse response = context.callOperatorApi(ApiRequest.of("POST", "/v1/drain"));
        return context.printResponse(response, DrainCommand::format);
    }

    private static String format(JsonNode response) {
        return response.isEmpty() ? "draining\n" : response + "\n";
    }
}
