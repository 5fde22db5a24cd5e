package org.knapweedmount.cli;

/** Cancels a job. */
final class JobCancelCommand extends JobCommand {
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
        ApiAnswer answer = session.callers().send(request("DELETE", ""));
        return session.show(answer, body -> body.isEmpty() ? "cancelled\n" : body + "\n");
    }
}
