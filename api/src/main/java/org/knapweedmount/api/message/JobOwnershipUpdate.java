package org.knapweedmount.api.message;

import java.util.List;

/**
 * Tells other entries which jobs an entry has taken and ended since its last message.
 *
 * @param owned the ids of jobs that it holds now
 * @param ended the ids of jobs that it has answered, all of whose runs have ended
 */
public record JobOwnershipUpdate(List<String> owned, List<String> ended) implements Message {
    /** Copies the lists. */
    public JobOwnershipUpdate {
        owned = List.copyOf(owned);
        ended = List.copyOf(ended);
    }
}
