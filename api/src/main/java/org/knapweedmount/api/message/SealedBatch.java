package org.knapweedmount.api.message;

import java.util.List;

/**
 * Answers to the seals of a {@link SealBatch}.
 *
 * @param answers the answers to some of the seals, each seal being answered in one of the messages
 */
public record SealedBatch(List<Sealed> answers) implements Message {
    /** Copies the list. */
    public SealedBatch {
        answers = List.copyOf(answers);
    }
}
