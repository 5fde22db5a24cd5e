package org.knapweedmount.wire;

import java.util.Objects;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;

/**
 * The two ends of a link for one direction.
 *
 * <p>Nearly every incarnation in a message is one of the ends and is therefore encoded as one byte. The encoder and the
 * decoder of a direction must use the same ends.
 *
 * @param sender the incarnation that sends, empty until both ends have sent their {@code Hello}
 * @param receiver the incarnation that receives, empty until both ends have sent their {@code Hello}
 */
public record LinkEnds(Optional<Incarnation> sender, Optional<Incarnation> receiver) {
    /** The ends of a link before both ends have sent their {@code Hello}. */
    public static final LinkEnds UNKNOWN = new LinkEnds(Optional.empty(), Optional.empty());

    /** Checks that no component is null. */
    public LinkEnds {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(receiver, "receiver");
    }

    /**
     * Creates the ends of one direction of a link.
     *
     * @param sender the incarnation that sends
     * @param receiver the incarnation that receives
     * @return the ends
     */
    public static LinkEnds of(Incarnation sender, Incarnation receiver) {
        return new LinkEnds(Optional.of(sender), Optional.of(receiver));
    }
}
