package org.knapweedmount.api.message;

import org.knapweedmount.api.Incarnation;

/**
 * Asks an entry without a link to stop a job that the caller has submitted to the sender; answered with a {@link
 * RelayedEnd} if no run of the job is active. It may be lost, and is repeated until it is answered.
 *
 * @param peer the other entry
 * @param job the job's ID
 * @param number the number of the request at its sender
 */
public record RelayedYield(Incarnation peer, String job, long number) implements Message, RelayedMessage {
    @Override
    public RelayedYield from(Incarnation sender) {
        return new RelayedYield(sender, job, number);
    }
}
