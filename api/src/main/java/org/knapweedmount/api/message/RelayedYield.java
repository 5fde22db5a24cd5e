package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Incarnation;

/**
 * Asks an entry without a link to stop the jobs that callers have submitted to the sender; answered with a {@link
 * RelayedEnd} for those without an active run. It may be lost, and is repeated until all are answered.
 *
 * @param peer the other entry
 * @param jobs the jobs' IDs
 * @param number the number of the request at its sender
 */
public record RelayedYield(Incarnation peer, List<String> jobs, long number) implements Message, RelayedMessage {
    /** Creates a message with a copy of the list. */
    public RelayedYield {
        jobs = List.copyOf(jobs);
    }

    @Override
    public RelayedYield from(Incarnation sender) {
        return new RelayedYield(sender, jobs, number);
    }
}
