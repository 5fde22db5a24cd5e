package org.knapweedmount.api.message;

import java.util.List;

/**
 * Several seals for one agent; each is processed independently and answered in one or more {@link SealedBatch}
 * messages.
 *
 * @param seals the seals, at most {@link #MAX_SEALS}
 */
public record SealBatch(List<Seal> seals) implements Message {
    /** The maximum number of seals in a message. */
    public static final int MAX_SEALS = 256;

    /** Copies the list of seals. */
    public SealBatch {
        seals = List.copyOf(seals);
    }
}
