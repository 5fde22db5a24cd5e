package org.knapweedmount.api.message;

import java.util.List;

/**
 * Answers seals of a {@link SealBatch}.
 *
 * @param answers the answers to some or all of the seals; each seal is answered in exactly one message
 */
public record SealedBatch(List<Sealed> answers) implements Message {
    /** Copies the list of answers. */
    public SealedBatch {
        answers = List.copyOf(answers);
    }
}
