package org.knapweedmount.daemon.http;

import java.util.Optional;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.SubmissionId;

/**
 * The key of a submission: an issued ID or a key that the caller chose.
 *
 * @param id the issued ID, empty if the caller chose the key
 * @param callerKey the key that the caller chose, empty if it is an issued ID
 */
public record SubmissionKey(Optional<SubmissionId> id, Optional<String> callerKey) {
    private static final int MAX_KEY_CHARACTERS = 200;

    /**
     * Parses the text that a caller sent.
     *
     * @param text an issued ID in text form, or a key of 1 to 200 printable ASCII characters
     * @return the key
     * @throws ParseException if the text is blank, too long or has other characters
     */
    public static SubmissionKey parse(String text) throws ParseException {
        boolean printable = text.chars().allMatch(c -> c >= ' ' && c <= '~');
        if (text.isBlank() || text.length() > MAX_KEY_CHARACTERS || !printable) {
            throw new ParseException(
                    "invalid submission key: expected 1 to " + MAX_KEY_CHARACTERS + " printable ASCII characters");
        }
        try {
            return new SubmissionKey(Optional.of(SubmissionId.parse(text)), Optional.empty());
        } catch (ParseException e) {
            return new SubmissionKey(Optional.empty(), Optional.of(text));
        }
    }
}
