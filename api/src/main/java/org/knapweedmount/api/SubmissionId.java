package org.knapweedmount.api;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The identity of one submission: a job, or a single request to a service.
 *
 * <p>The id names the incarnation that issued it, and only that incarnation ever starts its tasks. It also names the
 * version of the issuer's roster, the closed list of agents that may be sent tasks of this submission; a peer that
 * knows the version can ask every one of them after the issuer has gone.
 *
 * <p>The text form is {@code entry-1~00000000000000ff.17.3}: good. {@code 17} alone is not accepted.
 *
 * @param issuer the incarnation that issued the id
 * @param sequence the position among the ids of that issuer, from 1 up
 * @param rosterVersion the version of the issuer's roster at the time of issue, from 1 up
 */
public record SubmissionId(Incarnation issuer, long sequence, int rosterVersion) {
    private static final Pattern TEXT = Pattern.compile("([^.]{1,90})\\.([1-9][0-9]{0,17})\\.([1-9][0-9]{0,8})");

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if the sequence or the version is less than 1
     */
    public SubmissionId {
        Objects.requireNonNull(issuer, "issuer");
        if (sequence < 1 || rosterVersion < 1) {
            throw new IllegalArgumentException("sequence and roster version start at 1");
        }
    }

    /**
     * Reads the text form.
     *
     * @param text for instance {@code entry-1~00000000000000ff.17.3}
     * @return the id
     * @throws ParseException if the text has another form
     */
    public static SubmissionId parse(String text) throws ParseException {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new ParseException("'" + text + "' is no submission id; expected INCARNATION.SEQUENCE.ROSTER");
        }
        Incarnation issuer = Incarnation.parse(matcher.group(1));
        return new SubmissionId(issuer, Long.parseLong(matcher.group(2)), Integer.parseInt(matcher.group(3)));
    }

    /**
     * Names one task of this submission.
     *
     * @param index the position of the task in the job, from 0
     * @return the task's id
     */
    public TaskId task(int index) {
        return new TaskId(this, index);
    }

    @Override
    public String toString() {
        return issuer + "." + sequence + "." + rosterVersion;
    }
}
