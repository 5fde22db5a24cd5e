package org.knapweedmount.wire;

import java.util.Objects;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;

/**
 * The two ends of a link as seen by one direction of it.
 *
 * <p>Nearly every incarnation in a message is one of the ends, so that it travels as one byte. The encoder and the
 * decoder of a direction have the same ends.
 *
 * @param sender the end that sends, empty until it has said hello
 * @param receiver the end that receives, empty until it has said hello
 */
public record LinkEnds(Optional<Incarnation> sender, Optional<Incarnation> receiver) {
    /** The ends of a link before both sides have said hello. */
    public static final LinkEnds UNKNOWN = new LinkEnds(Optional.empty(), Optional.empty());

    /** Checks that nothing is missing. */
    public LinkEnds {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(receiver, "receiver");
    }

    /**
     * Creates the ends of one direction of a link.
     *
     * @param sender the end that sends
     * @param receiver the end that receives
     * @return the ends
     */
    public static LinkEnds of(Incarnation sender, Incarnation receiver) {
        return new LinkEnds(Optional.of(sender), Optional.of(receiver));
    }
}
