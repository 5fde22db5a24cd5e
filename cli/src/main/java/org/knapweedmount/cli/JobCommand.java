package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** A command on a job that was submitted before. */
abstract class JobCommand implements Command {
    @Parameter(description = "ID")
    private List<String> ids = new ArrayList<>();

    /**
     * Returns the path of the job that the command line names.
     *
     * @throws CliException if it names none or several
     */
    final String path() throws CliException {
        return path(Operand.only(ids, "ID"));
    }

    /** Returns the path of a job. */
    static String path(String id) {
        return "/v1/jobs/" + Operand.pathSegment(id);
    }
}
