package org.knapweedmount.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;

/** A command that prints the newest records of one of the lists in the operator API. */
abstract class ListCommand implements Command {
    @Parameter(names = "--limit", description = "Maximum number of records")
    private int limit = 20;

    private final String path;

    ListCommand(String path) {
        this.path = path;
    }

    @Override
    public final ExitCode run(CommandContext context) throws CliException {
        ApiResponse response = context.callOperatorApi(ApiRequest.of("GET", path + "?limit=" + limit));
        return context.printResponse(response, this::format);
    }

    /** Formats a response as text. */
    abstract String format(JsonNode response);
}
