package org.knapweedmount.daemon.ticket;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.config.Ticket;

/** Applies accepted tickets in this process and forwards them to peers. Called on the context of the store. */
@FunctionalInterface
public interface ConfigSink {
    /**
     * Applies tickets that change the configuration.
     *
     * @param tickets the tickets, in the order in which they were received
     * @param from the process that sent them, to which they are not forwarded, empty if they are from the table service
     */
    void changed(List<Ticket> tickets, Optional<Incarnation> from);
}
