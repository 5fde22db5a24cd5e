package org.knapweedmount.daemon.entry;

import org.knapweedmount.core.entry.EntryCounter;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.store.TableCounter;

/**
 * The counters of an entry, apart from those of its links.
 *
 * @param submissions the counters of the core
 * @param http the counters of the HTTP interface for callers
 * @param tables the counters of the table service clients
 */
record EntryCounters(Counters<EntryCounter> submissions, Counters<HttpCounter> http, Counters<TableCounter> tables) {
    /** Creates counters that are all 0. */
    static EntryCounters create() {
        return new EntryCounters(
                new Counters<>(EntryCounter.class),
                new Counters<>(HttpCounter.class),
                new Counters<>(TableCounter.class));
    }
}
