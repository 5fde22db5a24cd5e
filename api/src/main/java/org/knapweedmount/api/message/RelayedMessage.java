package org.knapweedmount.api.message;

import org.knapweedmount.api.Incarnation;

/** A message between two entries without a link to each other, which an agent that is linked to both passes on. */
public sealed interface RelayedMessage permits RelayedYield, RelayedEnd {
    /**
     * Returns the entry at the other end: the receiver on the way to the agent, and the sender on the way from it.
     *
     * @return the other entry
     */
    Incarnation peer();

    /**
     * Returns this message as the agent passes it on.
     *
     * @param sender the entry that the agent has received it from
     * @return the same message with the sender as the other entry
     */
    Message from(Incarnation sender);
}
