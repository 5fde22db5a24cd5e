package org.knapweedmount.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.Outcome;

/** Prints the answer to a job. */
final class JobText {
    private JobText() {}

    /** Prints an answer and returns how the command ends. */
    static ExitCode show(Session session, ApiAnswer answer) {
        Optional<Outcome> outcome = answer.outcome();
        ExitCode shown = session.show(answer, JobText::text);
        if (shown != ExitCode.OK) {
            showTasks(session, answer);
            return shown;
        }
        return outcome.map(ExitCode::of).orElse(ExitCode.PENDING);
    }

    /** Prints how each task of a job ended that is not complete, as far as it is told. */
    private static void showTasks(Session session, ApiAnswer answer) {
        JsonNode tasks = answer.json().path("tasks");
        if (session.json() || tasks.isEmpty()) {
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

    private static String text(JsonNode answer) {
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
