package org.knapweedmount.daemon.http;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Outcome;

/** Serializes problem documents as defined in RFC 9457. */
public final class ProblemWriter {
    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:knapweedmount:problem:";
    private static final int MILLIS_PER_SECOND = 1_000;

    private ProblemWriter() {}

    /**
     * Serializes a problem.
     *
     * @param problem the problem
     * @return the HTTP response
     */
    public static HttpResponse write(Problem problem) {
        return write(problem, json -> {});
    }

    /**
     * Serializes a problem with additional members.
     *
     * @param problem the problem
     * @param members writes the additional members
     * @return the HTTP response
     */
    public static HttpResponse write(Problem problem, JsonOutput.Content members) {
        List<Header> headers = new ArrayList<>();
        problem.outcome().ifPresent(outcome -> headers.add(new Header(CallerHeaders.OUTCOME, outcome.text())));
        problem.submission().ifPresent(id -> headers.add(new Header(CallerHeaders.SUBMISSION, id.toString())));
        if (problem.retryAfterMillis() > 0) {
            int seconds = (problem.retryAfterMillis() - 1) / MILLIS_PER_SECOND + 1;
            headers.add(new Header("Retry-After", Integer.toString(seconds)));
        }
        return new HttpResponse(problem.status(), MEDIA_TYPE, headers, JsonOutput.object(json -> {
            json.writeStringField("type", TYPE_PREFIX + problem.reason());
            json.writeStringField("title", problem.title());
            json.writeNumberField("status", problem.status());
            if (!problem.detail().isEmpty()) {
                json.writeStringField("detail", problem.detail());
            }
            if (problem.outcome().isPresent()) {
                Outcome outcome = problem.outcome().get();
                json.writeStringField("outcome", outcome.text());
            }
            json.writeStringField("reason", problem.reason());
            if (problem.submission().isPresent()) {
                json.writeStringField("submission", problem.submission().get().toString());
            }
            if (problem.highestTicketNumber().isPresent()) {
                json.writeNumberField("highest", problem.highestTicketNumber().getAsLong());
            }
            members.write(json);
        }));
    }
}
