package org.knapweedmount.daemon.http;

import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/**
 * The result of looking up a caller's key.
 *
 * @param answered false if the key could not be looked up
 * @param submission the ID that the key is bound to, empty if the key is not bound or could not be looked up
 */
public record KeyLookupResult(boolean answered, Optional<SubmissionId> submission) {
    /** The key could not be looked up. */
    public static final KeyLookupResult UNAVAILABLE = new KeyLookupResult(false, Optional.empty());

    /** The key is not bound to a submission. */
    public static final KeyLookupResult UNUSED = new KeyLookupResult(true, Optional.empty());

    /**
     * Creates the result for a key that is bound to a submission.
     *
     * @param submission the ID that the key is bound to
     * @return the result
     */
    public static KeyLookupResult found(SubmissionId submission) {
        return new KeyLookupResult(true, Optional.of(submission));
    }
}
