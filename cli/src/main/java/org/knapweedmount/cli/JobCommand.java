package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** A command on an existing job. */
abstract class JobCommand implements Command {
    @Parameter(description = "ID")
    private List<String> ids = new ArrayList<>();

    @Parameter(names = "--team", description = "Team that the job is charged to, required if ID is an idempotency key")
    private String team = "";

    /**
     * Creates a request for the job named in the command line.
     *
     * @param query the query including the question mark, empty if there is none
     * @throws CliException if the command line does not name exactly one job
     */
    final ApiRequest request(String method, String query) throws CliException {
        String path = path(Operand.only(ids, "ID")) + query;
        return ApiRequest.of(method, path).withHeader("Knapweedmount-Team", team);
    }

    /** Returns the path of a job. */
    static String path(String id) {
        return "/v1/jobs/" + Operand.pathSegment(id);
    }
}
