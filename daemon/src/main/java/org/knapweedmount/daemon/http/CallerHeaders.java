package org.knapweedmount.daemon.http;

import java.util.Optional;
import java.util.function.UnaryOperator;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.core.config.ObjectNames;

/**
 * The headers of a caller's request that the entry interprets.
 *
 * @param key the key that identifies the submission, empty if it cannot be resubmitted
 * @param team the team that the submission is charged to
 * @param kind the kind of task, empty for the default kind of the service
 * @param atMostOnce true if no task may run more than once
 * @param firstAttempt true if the caller states that it sends this key for the first time
 * @param declaredMillis the run time that the caller expects, in ms, 0 if it declared none
 * @param respondAsync true if the job is to be answered as soon as it is accepted
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
    /** The header for the outcome of a submission. */
    public static final String OUTCOME = "Knapweedmount-Outcome";

    /** The header for the ID of a submission. */
    public static final String SUBMISSION = "Knapweedmount-Submission";

    /** The header for the status with which the endpoint answered a failed request. */
    public static final String ENDPOINT_STATUS = "Knapweedmount-Endpoint-Status";

    /** The team of a request without a team header. */
    public static final String DEFAULT_TEAM = "default";

    /** The maximum run time that can be declared, in ms. */
    public static final int MAX_DECLARED_MILLIS = 86_400_000;

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String FIRST_ATTEMPT = "Knapweedmount-First-Attempt";
    private static final int MAX_DECLARED_DIGITS = 8;

    /**
     * Parses the headers.
     *
     * @param header returns the value of a header by its name, null if it is missing
     * @return the headers
     * @throws ParseException if a header has an invalid value
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
     * Returns the outcome to report for a submission that is refused without looking up its record.
     *
     * <p>A request with a key may be a retry of an attempt that has run, unless the caller states otherwise.
     *
     * @param header returns the value of a header by its name, null if it is missing
     * @param namedByPath true if the path of the request contains the key
     * @return the outcome to report
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
