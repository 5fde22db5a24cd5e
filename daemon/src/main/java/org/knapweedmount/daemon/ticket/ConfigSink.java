package org.knapweedmount.daemon.ticket;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.config.Ticket;

/** Puts accepted tickets in force at this process and passes them on; called on the context of the store. */
@FunctionalInterface
public interface ConfigSink {
    /**
     * Takes tickets that change the configuration.
     *
     * @param tickets the tickets, in the order in which they became known
     * @param from the process that sent them, which does not need them, empty if they are from the table service
     */
    void changed(List<Ticket> tickets, Optional<Incarnation> from);
}
