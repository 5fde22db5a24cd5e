package org.knapweedmount.api;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The ID of a submission: a job, or a single request to a service.
 *
 * <p>The ID names the incarnation that issued it; only that incarnation starts tasks of the submission. It also names
 * the version of the issuer's roster, the complete list of agents to which tasks of the submission may be sent. A peer
 * that has this version can query all of these agents after the issuer has stopped.
 *
 * <p>The text form is INCARNATION.SEQUENCE.ROSTER, for instance {@code entry-1~00000000000000ff.17.3}.
 *
 * @param issuer the incarnation that issued the ID
 * @param sequence the sequence number among the IDs of that issuer, from 1 up
 * @param rosterVersion the version of the issuer's roster when the ID was issued, from 1 up
 */
public record SubmissionId(Incarnation issuer, long sequence, int rosterVersion) {
    private static final Pattern TEXT = Pattern.compile("([^.]{1,90})\\.([1-9][0-9]{0,17})\\.([1-9][0-9]{0,8})");

    /**
     * Checks that the sequence number and the roster version are at least 1.
     *
     * @throws IllegalArgumentException if the sequence or the version is less than 1
     */
    public SubmissionId {
        Objects.requireNonNull(issuer, "issuer");
        if (sequence < 1 || rosterVersion < 1) {
            throw new IllegalArgumentException(
                    "sequence number and roster version must be at least 1, got " + sequence + " and " + rosterVersion);
        }
    }

    /**
     * Parses the text form.
     *
     * @param text for instance {@code entry-1~00000000000000ff.17.3}
     * @return the ID
     * @throws ParseException if the text has another form
     */
    public static SubmissionId parse(String text) throws ParseException {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new ParseException("'" + text + "' is not a submission ID; expected INCARNATION.SEQUENCE.ROSTER");
        }
        Incarnation issuer = Incarnation.parse(matcher.group(1));
        return new SubmissionId(issuer, Long.parseLong(matcher.group(2)), Integer.parseInt(matcher.group(3)));
    }

    /**
     * Returns the ID of a task of this submission.
     *
     * @param index the index of the task in the job, from 0
     * @return the task's ID
     */
    public TaskId task(int index) {
        return new TaskId(this, index);
    }

    @Override
    public String toString() {
        return issuer + "." + sequence + "." + rosterVersion;
    }
}
