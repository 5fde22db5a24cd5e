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
    public ExitCode run(CommandContext context) throws CliException {
        ApiResponse response = context.callerApi().send(request("DELETE", ""));
        return context.printResponse(response, body -> body.isEmpty() ? "cancelled\n" : body + "\n");
    }
}
