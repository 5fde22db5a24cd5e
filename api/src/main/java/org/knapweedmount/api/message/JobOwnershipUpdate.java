package org.knapweedmount.api.message;

import java.util.List;

/**
 * Reports to other entries which jobs the sender has accepted and which have ended since its last update.
 *
 * @param owned the IDs of jobs that the sender now owns
 * @param ended the IDs of jobs that the sender has answered and all of whose runs have ended
 */
public record JobOwnershipUpdate(List<String> owned, List<String> ended) implements Message {
    /** Copies the lists. */
    public JobOwnershipUpdate {
        owned = List.copyOf(owned);
        ended = List.copyOf(ended);
    }
}
