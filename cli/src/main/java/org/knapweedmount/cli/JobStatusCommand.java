package org.knapweedmount.cli;

import com.beust.jcommander.Parameter;

/** Shows the state and the results of a job. */
final class JobStatusCommand extends JobCommand {
    @Parameter(names = "--wait", description = "Wait for the end of the job")
    private boolean wait;

    @Override
    public String name() {
        return "job status";
    }

    @Override
    public String summary() {
        return "Show the state of a job, with its results once it is complete";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        return JobPrinter.print(context, context.callerApi().send(request("GET", wait ? "?wait=true" : "")));
    }
}
