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
 * The access of an entry to the table service, on a dedicated event loop.
 *
 * <p>Claims use a separate client, so that many claims do not delay tickets.
 *
 * @param context the event loop
 * @param tables the client for everything except claims
 * @param claims the claims of idempotency keys
 * @param tickets the tickets
 */
record EntryStore(Context context, TableClient tables, ClaimStore claims, TicketService tickets) {
    /** Starts to write the row of this entry and to read the rows of other entries. */
    void announce(EntryAnnouncement announcement, EntryDirectory directory) {
        context.runOnContext(ignored -> {
            announcement.start();
            directory.start();
        });
    }

    /** Stops reading the rows of other entries and deletes the row of this entry. */
    Future<Void> withdraw(EntryAnnouncement announcement, EntryDirectory directory) {
        Promise<Void> deleted = Promise.promise();
        context.runOnContext(ignored -> {
            directory.stop();
            announcement.stop().onComplete(deleted);
        });
        return deleted.future();
    }
}
