package org.knapweedmount.api.message;

/**
 * A job that an entry holds, with the age of its submission there.
 *
 * <p>If two entries hold one job, the one with the older submission gives it up: the caller waits for the answer to the
 * newer one. An age that was under way for long is too low; an entry that compares it with the present age of its own
 * submission then takes the other one for newer and gives up its own, so that at worst both do.
 *
 * @param job the job's ID
 * @param ageMillis how long ago the caller submitted the job to the entry, in ms; {@link #ENDING_AGE_MILLIS} if the job
 *     is answered and only its runs are left
 */
public record JobClaim(String job, long ageMillis) {
    /** The age of a submission that is answered, in ms: older than any other. */
    public static final long ENDING_AGE_MILLIS = Long.MAX_VALUE;

    /**
     * Checks the age.
     *
     * @throws IllegalArgumentException if the age is negative
     */
    public JobClaim {
        if (ageMillis < 0) {
            throw new IllegalArgumentException("age of " + ageMillis + " ms; expected none below 0");
        }
    }
}
