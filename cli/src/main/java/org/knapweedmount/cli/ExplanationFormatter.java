package org.knapweedmount.cli;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats the explanation of a decision as text. */
final class ExplanationFormatter {
    private ExplanationFormatter() {}

    static String format(JsonNode explanation) {
        return admission(explanation) + "\n" + candidates(explanation.path("candidates")) + "\n"
                + explanation.path("queuedTasks").asText() + " tasks would wait for capacity; "
                + explanation.path("waitingRequests").asText() + " requests wait before their admission\n";
    }

    private static String admission(JsonNode explanation) {
        JsonNode terms = explanation.path("admission");
        TextTable table = new TextTable(
                "queue", "service", "admission", "ahead", "share", "own", "elsewhere", "cores", "chain ms", "retry ms");
        table.row(
                explanation.path("queue").asText(),
                explanation.path("service").asText(),
                terms.path("verdict").asText(),
                rounded(terms.path("aheadCoreMillis")),
                ratio(terms.path("share")),
                rounded(terms.path("ownCoreMillis")),
                terms.path("elsewhereCoreMillis").asText(),
                ratio(terms.path("cores")),
                rounded(terms.path("chainMillis")),
                terms.path("retryAfterMillis").asText());
        return table.toString();
    }

    private static String candidates(JsonNode candidates) {
        TextTable table = new TextTable(
                "agent",
                "verdict",
                "tasks",
                "age ms",
                "free",
                "needed",
                "slowdown",
                "relative",
                "near",
                "prompt",
                "sample");
        for (JsonNode candidate : candidates) {
            table.row(
                    candidate.path("agent").asText(),
                    candidate.path("verdict").asText(),
                    candidate.path("tasks").asText(),
                    candidate.path("reportAgeMillis").asText(),
                    resources(candidate.path("free")),
                    resources(candidate.path("needed")),
                    ratio(candidate.path("reportedSlowdown")),
                    ratio(candidate.path("relativeSlowdown")),
                    candidate.path("nearData").asText(),
                    candidate.path("prompt").asText(),
                    candidate.path("sampled").asText());
        }
        return table.toString();
    }

    /** Formats resources as thousandths of a core, MB and accelerators. */
    private static String resources(JsonNode resources) {
        return resources.path("milliCores").asText() + "/"
                + resources.path("memoryMb").asText() + "/"
                + resources.path("accelerators").asText();
    }

    private static String rounded(JsonNode value) {
        return Long.toString(Math.round(value.asDouble()));
    }

    private static String ratio(JsonNode value) {
        return String.format(Locale.ROOT, "%.2f", value.asDouble());
    }
}
