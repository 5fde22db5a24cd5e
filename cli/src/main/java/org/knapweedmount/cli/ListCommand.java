package org.knapweedmount.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;

/** A command that lists the newest records of something that an entry shows to operators. */
abstract class ListCommand implements Command {
    @Parameter(names = "--limit", description = "Largest number of records")
    private int limit = 20;

    private final String path;

    ListCommand(String path) {
        this.path = path;
    }

    @Override
    public final ExitCode run(CommandContext session) throws CliException {
        ApiResponse answer = session.callOperatorApi(ApiRequest.of("GET", path + "?limit=" + limit));
        return session.printResponse(answer, this::format);
    }

    /** Writes an answer as text. */
    abstract String format(JsonNode answer);
}
