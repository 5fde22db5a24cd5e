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
    public final ExitCode run(Session session) throws CliException {
        ApiAnswer answer = session.askOperators(ApiRequest.of("GET", path + "?limit=" + limit));
        return session.show(answer, this::text);
    }

    /** Writes an answer as text. */
    abstract String text(JsonNode answer);
}
