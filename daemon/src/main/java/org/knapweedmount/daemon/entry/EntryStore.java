package org.knapweedmount.daemon.entry;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.knapweedmount.daemon.store.ClaimStore;
import org.knapweedmount.daemon.store.EntryAnnouncement;
import org.knapweedmount.daemon.store.EntryDirectory;
import org.knapweedmount.daemon.store.TableClient;
import org.knapweedmount.daemon.ticket.TicketService;

/**
 * What an entry does with the table service, on an event loop of its own.
 *
 * <p>Claims have a client of their own, so that a flood of them does not keep tickets waiting.
 *
 * @param context the event loop
 * @param tables the client for all but claims
 * @param claims the claims of callers' own keys
 * @param tickets the tickets
 */
record EntryStore(Context context, TableClient tables, ClaimStore claims, TicketService tickets) {
    /** Makes the entry known and looks for others. */
    void announce(EntryAnnouncement announcement, EntryDirectory directory) {
        context.runOnContext(ignored -> {
            announcement.start();
            directory.start();
        });
    }

    /** Stops looking for others and deletes the entry's row. */
    Future<Void> withdraw(EntryAnnouncement announcement, EntryDirectory directory) {
        Promise<Void> deleted = Promise.promise();
        context.runOnContext(ignored -> {
            directory.stop();
            announcement.stop().onComplete(deleted);
        });
        return deleted.future();
    }
}
