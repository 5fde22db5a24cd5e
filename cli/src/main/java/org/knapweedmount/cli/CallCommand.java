package org.knapweedmount.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;

/** Sends a single request to a service. */
final class CallCommand implements Command {
    @Parameter(description = "SERVICE PATH")
    private List<String> operands = new ArrayList<>();

    @Parameter(names = "--method", description = "HTTP method")
    private String method = "POST";

    @Parameter(names = "--body", description = "Body of the request, as text")
    private String body = "";

    @Parameter(names = "--body-file", description = "File with the body of the request")
    private Path bodyFile;

    @Parameter(names = "--content-type", description = "Media type of the body")
    private String contentType = "text/plain";

    @Parameter(names = "--kind", description = "Kind of the task; the service's default kind if missing")
    private String kind = "";

    @Parameter(names = "--team", description = "Team that the task is charged to")
    private String team = "";

    @Parameter(
            names = "--key",
            description = "Submission ID issued by an entry, or idempotency key chosen by the caller")
    private String key = "";

    @Parameter(names = "--at-most-once", description = "Forbid a second run even for a repeatable kind")
    private boolean atMostOnce;

    @Parameter(names = "--first-attempt", description = "Declare that the key has not been sent before")
    private boolean firstAttempt;

    @Parameter(names = "--declared-millis", description = "Expected run time, in ms")
    private Integer declaredMillis;

    @Override
    public String name() {
        return "call";
    }

    @Override
    public String summary() {
        return "Send a request to a service and print the response";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        List<String> checkedOperands = Operand.exactly(operands, "SERVICE", "PATH");
        String path = checkedOperands.get(1).startsWith("/") ? checkedOperands.get(1) : "/" + checkedOperands.get(1);
        ApiRequest request = ApiRequest.of(method, "/v1/services/" + Operand.pathSegment(checkedOperands.get(0)) + path)
                .withBody(payload(), contentType)
                .withHeader("Knapweedmount-Kind", kind)
                .withHeader("Knapweedmount-Team", team)
                .withHeader("Idempotency-Key", key)
                .withHeader("Knapweedmount-At-Most-Once", atMostOnce ? "true" : "")
                .withHeader("Knapweedmount-First-Attempt", firstAttempt ? "true" : "")
                .withHeader("Knapweedmount-Declared-Millis", declaredMillis == null ? "" : declaredMillis.toString());
        return print(context, context.callerApi().send(request));
    }

    private Payload payload() throws CliException {
        if (bodyFile == null) {
            return Payload.of(body);
        }
        try {
            return Payload.of(Files.readAllBytes(bodyFile));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, bodyFile + " cannot be read", e);
        }
    }

    private static ExitCode print(CommandContext context, ApiResponse response) {
        Optional<Outcome> outcome = response.outcome();
        boolean problem = response.isProblem();
        if (context.isJsonOutput()) {
            context.print(toJson(response, outcome).toString());
        } else if (!problem) {
            context.print(response.body());
        }
        if (outcome.isPresent() && outcome.get() == Outcome.COMPLETE) {
            return ExitCode.OK;
        }
        context.printDiagnostic(
                problem
                        ? response.describeProblem()
                        : outcome.map(Outcome::text).orElse("refused") + " with status " + response.status());
        return response.errorExitCode();
    }

    private static JsonNode toJson(ApiResponse response, Optional<Outcome> outcome) {
        ObjectNode json = JsonText.object();
        json.put("outcome", outcome.map(Outcome::text).orElse(""));
        json.put("submission", response.submission());
        json.put("status", response.status());
        json.put("contentType", response.contentType());
        json.put("body", response.body());
        return json;
    }
}
