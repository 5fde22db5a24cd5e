package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Incarnation;

/**
 * Tells an entry without a link that its sender does not hold some jobs.
 *
 * @param peer the other entry
 * @param jobs the jobs' IDs
 * @param number the number of the {@link RelayedYield} that this answers
 */
public record RelayedEnd(Incarnation peer, List<String> jobs, long number) implements Message, RelayedMessage {
    /** Creates a message with a copy of the list. */
    public RelayedEnd {
        jobs = List.copyOf(jobs);
    }

    @Override
    public RelayedEnd from(Incarnation sender) {
        return new RelayedEnd(sender, jobs, number);
    }
}
