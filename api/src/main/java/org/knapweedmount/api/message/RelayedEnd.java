package org.knapweedmount.api.message;

import org.knapweedmount.api.Incarnation;

/**
 * Tells an entry without a link that its sender does not hold a job.
 *
 * @param peer the other entry
 * @param job the job's ID
 * @param number the number of the {@link RelayedYield} that this answers
 */
public record RelayedEnd(Incarnation peer, String job, long number) implements Message, RelayedMessage {
    @Override
    public RelayedEnd from(Incarnation sender) {
        return new RelayedEnd(sender, job, number);
    }
}
