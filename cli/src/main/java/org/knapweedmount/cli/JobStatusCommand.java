package org.knapweedmount.cli;

import com.beust.jcommander.Parameter;

/** Asks for the answer to a job. */
final class JobStatusCommand extends JobCommand {
    @Parameter(names = "--wait", description = "Wait for the end of the job")
    private boolean wait;

    @Override
    public String name() {
        return "job status";
    }

    @Override
    public String summary() {
        return "Show how a job stands, with its results once it is complete";
    }

    @Override
    public ExitCode run(CommandContext session) throws CliException {
        return JobPrinter.print(session, session.callerApi().send(request("GET", wait ? "?wait=true" : "")));
    }
}
