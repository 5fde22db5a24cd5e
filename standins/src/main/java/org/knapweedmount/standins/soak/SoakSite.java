package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

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
    /** Beside aimed series, workers need room for second runs, as a full site refuses them. */
    private static final double AIMED_USED_SHARE = 0.35;

    private static final double MEAN_JOB_CORE_SECONDS = 2.5;
    private static final double MILLI = 1_000;

    private final SoakOptions options;
    private final SoakAddresses addresses;
    private final RunHistory history = new RunHistory();
    private final WorkerSite workerSite = new WorkerSite(history);
    private final List<WorkerPlace> places = new ArrayList<>();
    private final SoakConfig config = new SoakConfig();
    private final SoakStore store;
    private final LinkRelays relays;
    private final CallerRelays callerRelays;
    private final PlannedStops stops = new PlannedStops();
    private final StarvedEntries starvedEntries = new StarvedEntries();
    private final ReadinessProbes probes;
    private final SoakCallers callers;

    SoakSite(Vertx vertx, SoakOptions options, SoakAddresses addresses) {
        this.options = options;
        this.addresses = addresses;
        this.store = new SoakStore(vertx, addresses::relayedRow);
        this.relays = new LinkRelays(vertx, addresses);
        this.callerRelays = new CallerRelays(vertx);
        Random random = new Random(options.seed());
        List<HostPort> entries = addresses(addresses::callerRelay);
        Random ofCallers = new Random(random.nextLong());
        this.probes = new ReadinessProbes(vertx, addresses(addresses::readiness));
        Optional<JobSender> keptConnections = options.series() == FaultSeries.STOPS_IN_SERIES
                ? Optional.of(keptConnections(vertx, new Random(ofCallers.nextLong())))
                : Optional.empty();
        this.callers = new SoakCallers(vertx, this, options.series(), entries, keptConnections, ofCallers);
        // Recorded seeds keep what is drawn from the seed itself.
        Random ofClocks = new Random(~options.seed());
        for (int agent = 1; agent <= options.agents(); agent++) {
            Random ofWorkers = new Random(random.nextLong());
            VmClock clock = new VmClock(new Random(ofClocks.nextLong()));
            places.add(new WorkerPlace(
                    vertx,
                    addresses.worker(agent),
                    worker(vertx, agent, "a", clock, ofWorkers),
                    worker(vertx, agent, "b", clock, ofWorkers)));
        }
        workerSite.start(vertx);
    }

    private List<HostPort> addresses(IntFunction<HostPort> address) {
        return IntStream.rangeClosed(1, options.entries()).mapToObj(address).toList();
    }

    private JobSender keptConnections(Vertx vertx, Random random) {
        return new KeptConnections(
                vertx, workerSite::nowMillis, history, stops, addresses(addresses::callers), probes, random);
    }

    private SoakWorker worker(Vertx vertx, int agent, String name, VmClock clock, Random ofWorkers) {
        SoakWorker worker = new SoakWorker(
                vertx,
                workerSite,
                addresses.worker(agent),
                addresses.announcements(addresses.agentHost(agent)),
                workerName(agent) + name,
                clock,
                ofWorkers);
        workerSite.add(worker);
        return worker;
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
        places.forEach(place -> servers.add(place.listen()));
        return Future.all(servers).map(listening -> {
            probes.start();
            places.forEach(place -> place.worker().begin(false));
            return null;
        });
    }

    long nowMillis() {
        return workerSite.nowMillis();
    }

    List<WorkerPlace> places() {
        return places;
    }

    SoakCallers callers() {
        return callers;
    }

    PlannedStops stops() {
        return stops;
    }

    StarvedEntries starvedEntries() {
        return starvedEntries;
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

    /** Resets all connections between an entry and its callers; the entry notices it after some time. */
    void resetCallers(int entry, int millis) {
        callerRelays.reset(addresses.callers(entry), millis);
    }

    /** Resets half of the connections between an entry and its callers. */
    void resetHalfOfCallers(int entry) {
        callerRelays.resetHalf(addresses.callers(entry));
    }

    /** Checks that entries which lacked processor time did not hold up the others. */
    void checkEntriesWereServed() {
        starvedEntries.check(nowMillis()).ifPresent(history::add);
    }

    /** Checks that each worker that had begun when the faults ended, and is ready, has accepted a call since then. */
    void checkWorkersAreOpen(long faultsEndMillis) {
        for (WorkerPlace place : places) {
            place.worker()
                    .closedSince(faultsEndMillis)
                    .map(worker -> new Violation(
                            Violation.Rule.CLOSED,
                            nowMillis(),
                            "worker " + worker + " has accepted no call since " + faultsEndMillis))
                    .ifPresent(history::add);
        }
    }

    RunHistory history() {
        return history;
    }

    /** Writes the order to close a data centre; no worker there may start a run once the programs had time to obey. */
    void closeDataCentre(String name) {
        store.closeDataCentre(name);
        history.closedWorkers().close(workers(name), nowMillis());
    }

    /** Removes the order to close a data centre. */
    void reopenDataCentre(String name) {
        history.closedWorkers().reopen(workers(name));
        store.reopenDataCentre(name);
    }

    /** Returns the beginnings of the names of the workers of a data centre. */
    private List<String> workers(String dataCentre) {
        return IntStream.rangeClosed(1, options.agents())
                .filter(agent -> SoakPrograms.dataCentre(agent).equals(dataCentre))
                .mapToObj(this::workerName)
                .toList();
    }

    private String workerName(int agent) {
        return addresses.agentHost(agent).replace('.', '-') + "-";
    }

    void writeConfig() {
        store.writeConfig(config.next());
    }

    /** Returns the jobs per second without a burst. */
    double rate() {
        double usedShare = options.series().needsRoomForSecondRuns() ? AIMED_USED_SHARE : USED_SHARE;
        double cores = options.agents() * WorkerLife.CAPACITY_MILLI_CORES / MILLI;
        return options.rate() > 0 ? options.rate() : usedShare * cores / MEAN_JOB_CORE_SECONDS;
    }
}
