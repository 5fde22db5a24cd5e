package org.knapweedmount.daemon.http;

import java.util.Optional;
import java.util.function.UnaryOperator;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.core.config.ObjectNames;

/**
 * The headers of a caller's request that the product gives a meaning to.
 *
 * @param key what the caller names the submission by, empty if it cannot be resubmitted
 * @param team the team that the submission is charged to
 * @param kind the kind of task, empty for the service's default
 * @param atMostOnce true if the caller forbids a second run
 * @param firstAttempt true if the caller states that it has not sent this key before
 * @param declaredMillis the run time that the caller expects, in ms, 0 if it gave none
 * @param respondAsync true if the caller wants to be answered as soon as the job is accepted
 * @param contentType the media type of the body, empty if there is none
 */
public record CallerHeaders(
        Optional<SubmissionKey> key,
        String team,
        String kind,
        boolean atMostOnce,
        boolean firstAttempt,
        int declaredMillis,
        boolean respondAsync,
        String contentType) {
    /** Tells what became of a submission. */
    public static final String OUTCOME = "Knapweedmount-Outcome";

    /** Tells the id of a submission. */
    public static final String SUBMISSION = "Knapweedmount-Submission";

    /** Tells the status that the endpoint answered a failed request with. */
    public static final String ENDPOINT_STATUS = "Knapweedmount-Endpoint-Status";

    /** The team of a request that names none. */
    public static final String DEFAULT_TEAM = "default";

    /** The longest run time that can be declared, in ms. */
    public static final int MAX_DECLARED_MILLIS = 86_400_000;

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String FIRST_ATTEMPT = "Knapweedmount-First-Attempt";
    private static final int MAX_DECLARED_DIGITS = 8;

    /**
     * Reads the headers.
     *
     * @param header looks a header up by its name, null if it is missing
     * @return the headers
     * @throws ParseException if one has a value that is not allowed
     */
    public static CallerHeaders read(UnaryOperator<String> header) throws ParseException {
        String idempotencyKey = header.apply(IDEMPOTENCY_KEY);
        Optional<SubmissionKey> key =
                idempotencyKey == null ? Optional.empty() : Optional.of(SubmissionKey.parse(idempotencyKey));
        String contentType = header.apply("Content-Type");
        String prefer = header.apply("Prefer");
        return new CallerHeaders(
                key,
                name(header, "Knapweedmount-Team", DEFAULT_TEAM),
                name(header, "Knapweedmount-Kind", ""),
                flag(header, "Knapweedmount-At-Most-Once"),
                flag(header, FIRST_ATTEMPT),
                declaredMillis(header),
                prefer != null && prefer.contains("respond-async"),
                contentType == null ? "" : contentType);
    }

    /**
     * Decides what a refusal that was made without a look at the records may say about the submission.
     *
     * <p>A request with a key may be a second attempt whose first one ran, unless the caller states otherwise.
     *
     * @param header looks a header up by its name, null if it is missing
     * @param namedByPath true if the request names its submission by its path
     * @return the outcome to tell
     */
    public static Outcome outcomeOfRefusal(UnaryOperator<String> header, boolean namedByPath) {
        boolean hasKey = namedByPath || header.apply(IDEMPOTENCY_KEY) != null;
        boolean first = "true".equalsIgnoreCase(header.apply(FIRST_ATTEMPT));
        return hasKey && !first ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private static String name(UnaryOperator<String> header, String name, String defaultValue) throws ParseException {
        String value = header.apply(name);
        if (value == null) {
            return defaultValue;
        }
        if (!ObjectNames.isValid(value)) {
            throw new ParseException("header " + name + ": expected " + ObjectNames.ALLOWED);
        }
        return value;
    }

    private static boolean flag(UnaryOperator<String> header, String name) throws ParseException {
        String value = header.apply(name);
        if (value == null || value.equalsIgnoreCase("false")) {
            return false;
        }
        if (!value.equalsIgnoreCase("true")) {
            throw new ParseException("header " + name + ": expected true or false");
        }
        return true;
    }

    private static int declaredMillis(UnaryOperator<String> header) throws ParseException {
        String value = header.apply("Knapweedmount-Declared-Millis");
        if (value == null) {
            return 0;
        }
        boolean digits = value.matches("[0-9]{1," + MAX_DECLARED_DIGITS + "}");
        if (!digits || Integer.parseInt(value) > MAX_DECLARED_MILLIS) {
            throw new ParseException(
                    "header Knapweedmount-Declared-Millis: expected a whole number from 0 to " + MAX_DECLARED_MILLIS);
        }
        return Integer.parseInt(value);
    }
}
