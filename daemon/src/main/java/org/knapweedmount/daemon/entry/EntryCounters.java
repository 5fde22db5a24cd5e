package org.knapweedmount.daemon.entry;

import org.knapweedmount.core.entry.EntryCounter;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.store.TableCounter;

/**
 * What an entry counts, apart from its links.
 *
 * @param submissions what the core counts
 * @param http what the interface for callers counts
 * @param tables what the client of the table service counts
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
