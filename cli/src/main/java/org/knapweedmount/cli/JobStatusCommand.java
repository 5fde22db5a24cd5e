package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** Asks for the answer to a job. */
final class JobStatusCommand implements Command {
    @Parameter(description = "ID")
    private List<String> ids = new ArrayList<>();

    @Parameter(names = "--wait", description = "Wait for the end of the job")
    private boolean wait;

    @Parameter(names = "--team", description = "Team that the job is charged to, needed if ID is a key of its own")
    private String team = "";

    @Override
    public String name() {
        return "job status";
    }

    @Override
    public String summary() {
        return "Show how a job stands, with its results once it is complete";
    }

    @Override
    public ExitCode run(Session session) throws CliException {
        String path = "/v1/jobs/" + Operand.pathSegment(Operand.only(ids, "ID"));
        ApiRequest request = ApiRequest.of("GET", wait ? path + "?wait=true" : path);
        return JobText.show(session, session.callers().send(request.withHeader("Knapweedmount-Team", team)));
    }
}
