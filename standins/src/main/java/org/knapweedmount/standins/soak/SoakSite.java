package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.standins.support.HostPort;

/**
 * What surrounds the programs: the store, the workers, the callers, and the checks of what these see.
 *
 * <p>Confined to one event loop.
 */
final class SoakSite {
    private static final double USED_SHARE = 0.6;
    private static final double MEAN_JOB_CORE_SECONDS = 2.5;
    private static final double MILLI = 1_000;

    private final SoakOptions options;
    private final SoakAddresses addresses;
    private final RunHistory history = new RunHistory();
    private final WorkerSite workerSite = new WorkerSite(history);
    private final List<SoakWorker> workers = new ArrayList<>();
    private final SoakConfig config = new SoakConfig();
    private final SoakStore store;
    private final LinkRelays relays;
    private final CallerRelays callerRelays;
    private final SoakCallers callers;

    SoakSite(Vertx vertx, SoakOptions options, SoakAddresses addresses) {
        this.options = options;
        this.addresses = addresses;
        this.store = new SoakStore(vertx, addresses::relayedRow);
        this.relays = new LinkRelays(vertx, addresses);
        this.callerRelays = new CallerRelays(vertx);
        Random random = new Random(options.seed());
        List<HostPort> entries = new ArrayList<>();
        for (int entry = 1; entry <= options.entries(); entry++) {
            entries.add(addresses.callerRelay(entry));
        }
        this.callers = new SoakCallers(vertx, workerSite::nowMillis, history, entries, new Random(random.nextLong()));
        for (int agent = 1; agent <= options.agents(); agent++) {
            SoakWorker worker = new SoakWorker(
                    vertx,
                    workerSite,
                    addresses.worker(agent),
                    addresses.announcements(addresses.agentHost(agent)),
                    SoakConfig.SERVICE,
                    new Random(random.nextLong()));
            workers.add(worker);
            workerSite.add(worker);
        }
        workerSite.start(vertx);
    }

    /** Starts the store, the relays and the workers. */
    Future<Void> start() {
        store.writeConfig(config.next());
        List<Future<?>> servers = new ArrayList<>();
        servers.add(store.listen(addresses.store()));
        for (int entry = 1; entry <= options.entries(); entry++) {
            servers.add(relays.listen(entry));
            servers.add(callerRelays.listen(addresses.callerRelay(entry), addresses.callers(entry)));
        }
        workers.forEach(worker -> servers.add(worker.listen()));
        return Future.all(servers).map(listening -> {
            workers.forEach(worker -> worker.begin(false));
            return null;
        });
    }

    long nowMillis() {
        return workerSite.nowMillis();
    }

    List<SoakWorker> workers() {
        return workers;
    }

    SoakCallers callers() {
        return callers;
    }

    LinkRelays relays() {
        return relays;
    }

    /** Holds back all bytes between an entry and its callers, or passes them on again. */
    void holdCallers(int entry, boolean held) {
        if (held) {
            callerRelays.hold(addresses.callers(entry));
        } else {
            callerRelays.release(addresses.callers(entry));
        }
    }

    /** Resets half of the connections between an entry and its callers. */
    void resetHalfOfCallers(int entry) {
        callerRelays.resetHalf(addresses.callers(entry));
    }

    RunHistory history() {
        return history;
    }

    void writeConfig() {
        store.writeConfig(config.next());
    }

    /** Returns the jobs per second without a burst. */
    double rate() {
        double cores = options.agents() * WorkerLife.CAPACITY_MILLI_CORES / MILLI;
        return options.rate() > 0 ? options.rate() : USED_SHARE * cores / MEAN_JOB_CORE_SECONDS;
    }
}
