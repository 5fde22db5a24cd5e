package org.knapweedmount.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.daemon.http.PendingRequests;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.settings.EntrySettings;
import org.knapweedmount.daemon.store.EntryAnnouncement;
import org.knapweedmount.daemon.store.EntryDirectory;

/**
 * The parts of an entry that serves.
 *
 * @param settings the settings
 * @param clock the monotonic clock
 * @param vertx the event loops
 * @param life where the entry stands
 * @param self where the entry listens for links
 * @param loop the decision thread
 * @param ticker lets the decision thread do what is due
 * @param linkTable the links
 * @param pending the callers who wait
 * @param drain makes the entry take no new work
 * @param store what the entry does with the table service
 * @param announcement the entry's row
 * @param directory the other entries' rows
 * @param httpApis the HTTP interfaces
 */
record EntryComponents(
        EntrySettings settings,
        NanoClock clock,
        Vertx vertx,
        ProcessLife life,
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
    /** Deletes the entry's row. */
    Future<Void> withdraw() {
        return store.withdraw(announcement, directory);
    }
}
