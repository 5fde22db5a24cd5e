package org.knapweedmount.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.Payload;

/** Submits a job from a file. */
final class JobSubmitCommand implements Command {
    @Parameter(description = "FILE, JSON with comments: team, service and tasks")
    private List<Path> files = new ArrayList<>();

    @Parameter(
            names = "--id",
            description =
                    "Submission ID or idempotency key, to submit the job again or under a key chosen by the caller")
    private String id;

    @Parameter(names = "--team", description = "Team that the job is charged to; overrides the one in the file")
    private String team;

    @Parameter(names = "--async", description = "Do not wait for the end of the job")
    private boolean async;

    @Parameter(names = "--first-attempt", description = "Declare that the ID has not been sent before")
    private boolean firstAttempt;

    @Override
    public String name() {
        return "job submit";
    }

    @Override
    public String summary() {
        return "Submit a job and print its results";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        ObjectNode job = JsonText.readFile(Operand.only(files, "FILE"));
        if (team != null) {
            job.put("team", team);
        }
        ApiClient entry = context.callerApi();
        String submission = id == null ? requestSubmissionId(entry) : id;
        context.printDiagnostic("submission " + submission);
        ApiRequest request = ApiRequest.of("PUT", JobCommand.path(submission))
                .withBody(Payload.of(job.toString()), "application/json")
                .withHeader("Prefer", async ? "respond-async" : "")
                .withHeader("Knapweedmount-First-Attempt", firstAttempt || id == null ? "true" : "");
        ExitCode exitCode = JobPrinter.print(context, entry.send(request));
        return async && exitCode == ExitCode.PENDING ? ExitCode.OK : exitCode;
    }

    private static String requestSubmissionId(ApiClient entry) throws CliException {
        ApiResponse response = entry.send(ApiRequest.of("POST", "/v1/submission-ids?count=1"));
        JsonNode issued = response.json().path("ids").path(0);
        if (!response.isSuccess() || issued.isMissingNode()) {
            throw new CliException(
                    response.errorExitCode(), "no submission ID was issued: " + response.describeProblem());
        }
        return issued.asText();
    }
}
