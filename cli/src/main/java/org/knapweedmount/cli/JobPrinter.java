package org.knapweedmount.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.Outcome;

/** Prints the response to a request for a job. */
final class JobPrinter {
    private JobPrinter() {}

    /** Prints a response and returns the exit code. */
    static ExitCode print(CommandContext session, ApiResponse answer) {
        Optional<Outcome> outcome = answer.outcome();
        ExitCode shown = session.printResponse(answer, JobPrinter::format);
        if (shown != ExitCode.OK) {
            printFailedTasks(session, answer);
            return shown;
        }
        return outcome.map(ExitCode::of).orElse(ExitCode.PENDING);
    }

    /** Prints the outcome of each task of an incomplete job, if the response contains it. */
    private static void printFailedTasks(CommandContext session, ApiResponse answer) {
        JsonNode tasks = answer.json().path("tasks");
        if (session.isJsonOutput() || tasks.isEmpty()) {
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
        session.print(table.toString().strip());
    }

    private static String format(JsonNode answer) {
        if (!answer.path("outcome").isTextual()) {
            return answer.path("state").asText("pending") + "\n";
        }
        TextTable table = new TextTable("task", "status", "content type", "body");
        int index = 0;
        for (JsonNode result : answer.path("results")) {
            table.row(
                    Integer.toString(index++),
                    result.path("status").asText(),
                    result.path("contentType").asText(),
                    body(result));
        }
        return answer.path("outcome").asText() + "\n" + table;
    }

    private static String body(JsonNode result) {
        if (result.has("bodyBase64")) {
            return "base64 " + result.path("bodyBase64").asText();
        }
        return result.path("body").asText().replace('\n', ' ');
    }
}
