package org.knapweedmount.daemon.http;

import java.util.Optional;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.SubmissionId;

/**
 * What a caller names a submission by: an issued id or a key of its own.
 *
 * @param id the id if the caller uses an issued one
 * @param callerKey the caller's own key if it uses one instead
 */
public record SubmissionKey(Optional<SubmissionId> id, Optional<String> callerKey) {
    private static final int MAX_KEY_CHARACTERS = 200;

    /**
     * Reads the text that a caller sent.
     *
     * @param text an issued id in its text form, or 1 to 200 printable characters as a key of the caller's own
     * @return the key
     * @throws ParseException if the text is empty, too long or has other characters
     */
    public static SubmissionKey parse(String text) throws ParseException {
        boolean printable = text.chars().allMatch(c -> c >= ' ' && c <= '~');
        if (text.isBlank() || text.length() > MAX_KEY_CHARACTERS || !printable) {
            throw new ParseException(
                    "the key of a submission has 1 to " + MAX_KEY_CHARACTERS + " printable ASCII characters");
        }
        try {
            return new SubmissionKey(Optional.of(SubmissionId.parse(text)), Optional.empty());
        } catch (ParseException e) {
            return new SubmissionKey(Optional.empty(), Optional.of(text));
        }
    }
}
