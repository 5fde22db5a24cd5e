package org.knapweedmount.daemon.link;

import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.runtime.DecisionQueue;

/**
 * The queues of the decision thread for the events of links.
 *
 * @param <T> the type of the decision module
 */
@FunctionalInterface
public interface EventQueues<T> {
    /**
     * Returns the queue for the links to processes of a role.
     *
     * @param peer the role
     * @return the queue
     */
    DecisionQueue<T> ofLink(Role peer);

    /**
     * Returns the queue for a message.
     *
     * @param sender the role of the process that has sent it
     * @param message the message
     * @return the queue
     */
    default DecisionQueue<T> ofMessage(Role sender, Message message) {
        return ofLink(sender);
    }
}
