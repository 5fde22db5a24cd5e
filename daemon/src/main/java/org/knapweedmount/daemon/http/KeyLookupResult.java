package org.knapweedmount.daemon.http;

import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/**
 * The result of looking up a caller's own key.
 *
 * @param answered false if the table service could not be asked
 * @param submission the id that the key stands for, empty if the key was never used or the service could not be asked
 */
public record KeyLookupResult(boolean answered, Optional<SubmissionId> submission) {
    /** The table service could not be asked. */
    public static final KeyLookupResult UNAVAILABLE = new KeyLookupResult(false, Optional.empty());

    /** The key was never used. */
    public static final KeyLookupResult UNUSED = new KeyLookupResult(true, Optional.empty());

    /**
     * Creates the result for a key that was used.
     *
     * @param submission the id that the key stands for
     * @return the result
     */
    public static KeyLookupResult found(SubmissionId submission) {
        return new KeyLookupResult(true, Optional.of(submission));
    }
}
