package org.knapweedmount.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.Outcome;

/** Prints the response to a request for a job. */
final class JobPrinter {
    private JobPrinter() {}

    /** Prints a response and returns the exit code. */
    static ExitCode print(CommandContext context, ApiResponse response) {
        Optional<Outcome> outcome = response.outcome();
        ExitCode exitCode = context.printResponse(response, JobPrinter::format);
        if (exitCode != ExitCode.OK) {
            printTaskOutcomes(context, response);
            return exitCode;
        }
        return outcome.map(ExitCode::of).orElse(ExitCode.PENDING);
    }

    /** Prints the outcome of each task of a job that is not complete, if the response contains the tasks. */
    private static void printTaskOutcomes(CommandContext context, ApiResponse response) {
        JsonNode tasks = response.json().path("tasks");
        if (context.isJsonOutput() || tasks.isEmpty()) {
            return;
        }
        TextTable table = new TextTable("task", "outcome", "reason", "status", "body");
        int index = 0;
        for (JsonNode task : tasks) {
            table.row(
                    Integer.toString(index++),
                    task.path("outcome").asText(),
                    task.path("reason").asText(),
                    task.path("status").asText(),
                    body(task));
        }
        context.print(table.toString().strip());
    }

    private static String format(JsonNode response) {
        if (!response.path("outcome").isTextual()) {
            return response.path("state").asText("pending") + "\n";
        }
        TextTable table = new TextTable("task", "status", "content type", "body");
        int index = 0;
        for (JsonNode result : response.path("results")) {
            table.row(
                    Integer.toString(index++),
                    result.path("status").asText(),
                    result.path("contentType").asText(),
                    body(result));
        }
        return response.path("outcome").asText() + "\n" + table;
    }

    private static String body(JsonNode result) {
        if (result.has("bodyBase64")) {
            return "base64 " + result.path("bodyBase64").asText();
        }
        return result.path("body").asText().replace('\n', ' ');
    }
}
