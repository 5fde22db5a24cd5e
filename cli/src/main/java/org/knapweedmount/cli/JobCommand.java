package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** A command on a job that was submitted before. */
abstract class JobCommand implements Command {
    @Parameter(description = "ID")
    private List<String> ids = new ArrayList<>();

    @Parameter(names = "--team", description = "Team that the job is charged to, needed if ID is a key of its own")
    private String team = "";

    /**
     * Makes a request about the job that the command line names.
     *
     * @param query the query with its question mark, empty if there is none
     * @throws CliException if it names none or several
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
