package org.knapweedmount.api.message;

import java.util.List;

/**
 * Reports to another entry which jobs the sender owns: all of them on a new link, later the changes since the last
 * update.
 *
 * @param owned the IDs of jobs that the sender now owns
 * @param ended the IDs of jobs that the sender has answered and all of whose runs have ended, or of a job that a
 *     {@link YieldJob} names and the sender does not own
 */
public record JobOwnershipUpdate(List<String> owned, List<String> ended) implements Message {
    /** Copies the lists. */
    public JobOwnershipUpdate {
        owned = List.copyOf(owned);
        ended = List.copyOf(ended);
    }
}
