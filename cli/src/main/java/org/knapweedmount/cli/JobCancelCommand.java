package org.knapweedmount.cli;

/** Cancels a job. */
final class JobCancelCommand extends JobCommand {
    @Override
    public String name() {
        return "job cancel";
    }

    @Override
    public String summary() {
        return "Cancel a job; waiting tasks are not started, running tasks are stopped";
    }

    @Override
    public ExitCode run(CommandContext session) throws CliException {
        ApiResponse answer = session.callerApi().send(request("DELETE", ""));
        return session.printResponse(answer, body -> body.isEmpty() ? "cancelled\n" : body + "\n");
    }
}
