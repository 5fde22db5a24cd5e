package org.knapweedmount.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.Outcome;

/**
 * An answer of an entry.
 *
 * @param status the HTTP status
 * @param outcomeHeader the header with the outcome, empty if missing
 * @param submission the header with the submission id, empty if missing
 * @param contentType the media type of the body, empty if missing
 * @param retryAfter the header with the time to wait, in s, empty if missing
 * @param body the body
 */
record ApiResponse(
        int status, String outcomeHeader, String submission, String contentType, String retryAfter, String body) {
    private static final int MIN_ERROR_STATUS = 400;
    private static final String PROBLEM_TYPE = "application/problem+json";
    private static final String PROBLEM_URN_PREFIX = "urn:knapweedmount:problem:";

    boolean isSuccess() {
        return status < MIN_ERROR_STATUS;
    }

    /** Tells whether this is a problem document of the entry, not an endpoint's. */
    boolean isProblem() {
        return contentType.startsWith(PROBLEM_TYPE)
                && json().path("type").asText(PROBLEM_URN_PREFIX).startsWith(PROBLEM_URN_PREFIX);
    }

    JsonNode json() {
        return JsonText.parse(body);
    }

    /** Returns the outcome of the submission by the header, else by the body, empty if neither states one. */
    Optional<Outcome> outcome() {
        String text = outcomeHeader.isEmpty() ? json().path("outcome").asText() : outcomeHeader;
        for (Outcome outcome : Outcome.values()) {
            if (outcome.text().equals(text)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }

    /** Returns what a command ends with after this refusal. */
    ExitCode errorExitCode() {
        return outcome().map(ExitCode::of).orElse(ExitCode.REFUSED);
    }

    /** Describes a refusal in one line. */
    String describeProblem() {
        JsonNode problem = json();
        StringBuilder text = new StringBuilder();
        append(text, "", outcome().map(Outcome::text).orElse("refused with status " + status));
        append(text, ": ", problem.path("reason").asText());
        append(text, ": ", problem.path("detail").asText(problem.path("title").asText()));
        append(text, "; highest accepted number ", problem.path("highest").asText());
        append(text, "; submission ", problem.path("submission").asText(submission));
        append(text, "; retry after s: ", retryAfter);
        return text.toString();
    }

    private static void append(StringBuilder text, String separator, String value) {
        if (!value.isEmpty()) {
            text.append(separator).append(value);
        }
    }
}
