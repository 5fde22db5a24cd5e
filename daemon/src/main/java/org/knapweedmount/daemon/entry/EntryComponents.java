package org.knapweedmount.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.daemon.http.PendingRequests;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.settings.EntrySettings;
import org.knapweedmount.daemon.store.EntryAnnouncement;
import org.knapweedmount.daemon.store.EntryDirectory;

/**
 * The components of a running entry.
 *
 * @param settings the settings
 * @param clock the monotonic clock
 * @param vertx the event loops
 * @param lifecycle the lifecycle state of the entry
 * @param self the identity of the entry and the address on which it listens for links
 * @param loop the decision thread
 * @param ticker triggers the timed work of the decision thread
 * @param linkTable the links
 * @param pending the requests of callers that await a response
 * @param drain stops the intake of new work
 * @param store the access to the table service
 * @param announcement writes the row of this entry
 * @param directory reads the rows of the other entries
 * @param httpApis the HTTP interfaces
 */
record EntryComponents(
        EntrySettings settings,
        NanoClock clock,
        Vertx vertx,
        ProcessLifecycle lifecycle,
        PeerAddress self,
        DecisionLoop<EntryModule> loop,
        Ticker<EntryModule> ticker,
        LinkTable<EntryModule> linkTable,
        PendingRequests pending,
        EntryDrain drain,
        EntryStore store,
        EntryAnnouncement announcement,
        EntryDirectory directory,
        EntryHttpApis httpApis) {
    /** Stops reading the rows of other entries and deletes the row of this entry. */
    Future<Void> withdraw() {
        return store.withdraw(announcement, directory);
    }
}
