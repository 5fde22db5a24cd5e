package org.knapweedmount.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.Outcome;

/**
 * A response of an entry or an agent.
 *
 * @param status the HTTP status
 * @param outcomeHeader the value of the outcome header, empty if missing
 * @param submission the value of the submission ID header, empty if missing
 * @param contentType the media type of the body, empty if missing
 * @param retryAfter the value of the Retry-After header, in s, empty if missing
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

    /** Returns whether the body is a problem document of the entry and not of an endpoint. */
    boolean isProblem() {
        return contentType.startsWith(PROBLEM_TYPE)
                && json().path("type").asText(PROBLEM_URN_PREFIX).startsWith(PROBLEM_URN_PREFIX);
    }

    JsonNode json() {
        return JsonText.parse(body);
    }

    /** Returns the outcome of the submission from the header or else from the body, empty if neither contains one. */
    Optional<Outcome> outcome() {
        String text = outcomeHeader.isEmpty() ? json().path("outcome").asText() : outcomeHeader;
        for (Outcome outcome : Outcome.values()) {
            if (outcome.text().equals(text)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }

    /** Returns the exit code for this error response. */
    ExitCode errorExitCode() {
        return outcome().map(ExitCode::of).orElse(ExitCode.REFUSED);
    }

    /** Describes this error response in one line. */
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
