package org.knapweedmount.api.message;

import java.util.List;

/**
 * Reports to another entry which jobs the sender holds: all of them on a new link, later the changes since the last
 * update.
 *
 * @param owned the jobs that the sender now holds, including those whose request waits for another entry
 * @param ended the IDs of jobs that the sender has answered and all of whose runs have ended, or of a job that a
 *     {@link YieldJob} names and the sender does not hold
 */
public record JobOwnershipUpdate(List<JobClaim> owned, List<String> ended) implements Message {
    /** Copies the lists. */
    public JobOwnershipUpdate {
        owned = List.copyOf(owned);
        ended = List.copyOf(ended);
    }
}
