package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** Cancels a job. */
final class JobCancelCommand implements Command {
    @Parameter(description = "ID")
    private List<String> ids = new ArrayList<>();

    @Parameter(names = "--team", description = "Team that the job is charged to, needed if ID is a key of its own")
    private String team = "";

    @Override
    public String name() {
        return "job cancel";
    }

    @Override
    public String summary() {
        return "Cancel a job; tasks that wait don't start, tasks that run are stopped";
    }

    @Override
    public ExitCode run(Session session) throws CliException {
        String path = "/v1/jobs/" + Operand.pathSegment(Operand.only(ids, "ID"));
        ApiAnswer answer = session.callers().send(ApiRequest.of("DELETE", path).withHeader("Knapweedmount-Team", team));
        return session.show(answer, body -> body.isEmpty() ? "cancelled\n" : body + "\n");
    }
}
