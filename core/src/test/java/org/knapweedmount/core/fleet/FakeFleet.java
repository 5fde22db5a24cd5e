package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.core.config.ConfigState;

/** A simulated fleet of entries and agents in one or more regions, with operations to inject faults. */
final class FakeFleet {
    static final String SERVICE = "dues";
    static final String REPEATABLE = "balance-check";
    static final String ONCE = "fee-settlement";
    static final String TEAM = "north";
    private static final long TICK_NANOS = 10_000_000;
    private static final long RECONNECT_NANOS = 100_000_000;
    private static final int DATA_CENTRES = 3;
    private static final int CONNECT_DELAY_SPREAD_NANOS = 60_000_000;
    private static final double IDLE_CLOSE_SHARE = 0.03;

    private final Random random;
    private final FleetSite site;
    private boolean regionsPartitioned;
    private boolean reliableExecutors;
    private final Scheduler scheduler = new Scheduler();
    private final StartLog log = new StartLog();
    private final FakeNetwork network;
    private final FakeStore store = new FakeStore(scheduler);
    private final List<FakeEntry> entries = new ArrayList<>();
    private final List<FakeAgent> agents = new ArrayList<>();
    private final List<FakeEntry> allEntries = new ArrayList<>();

    FakeFleet(long seed, FleetSite site) {
        this.random = new Random(seed);
        this.site = site;
        this.network = new FakeNetwork(scheduler, random, site.duplicateShare());
        for (int index = 0; index < site.entries(); index++) {
            entries.add(newEntry("entry-" + index));
        }
        for (int index = 0; index < site.agents(); index++) {
            agents.add(newAgent("agent-" + index));
        }
        scheduler.after(TICK_NANOS, this::tick);
        scheduler.after(RECONNECT_NANOS, this::reconnect);
        connectAll();
    }

    /** Makes the executors complete every further task. */
    void reliableExecutors() {
        reliableExecutors = true;
    }

    /** Returns at random whether an executor fails a task, with the given probability. */
    boolean executorFails(double share) {
        return !reliableExecutors && random.nextDouble() < share;
    }

    Random random() {
        return random;
    }

    FleetSite site() {
        return site;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    FakeNetwork network() {
        return network;
    }

    FakeStore store() {
        return store;
    }

    StartLog log() {
        return log;
    }

    List<FakeEntry> entries() {
        return entries;
    }

    List<FakeAgent> agents() {
        return agents;
    }

    int unansweredByAliveEntries() {
        return allEntries.stream()
                .filter(FakeProcess::alive)
                .mapToInt(FakeEntry::unanswered)
                .sum();
    }

    void replaceEntry(int index) {
        FakeEntry old = entries.get(index);
        disconnectAll(old);
        old.kill();
        entries.set(index, newEntry(old.address().incarnation().process()));
    }

    void replaceAgent(int index) {
        FakeAgent old = agents.get(index);
        disconnectAll(old);
        old.kill();
        agents.set(index, newAgent(old.address().incarnation().process()));
    }

    /** Returns a random ready entry, or any entry if none is ready, as a load balancer would. */
    FakeEntry readyEntry(Random choice) {
        List<FakeEntry> ready = entries.stream().filter(FakeEntry::ready).toList();
        List<FakeEntry> candidates = ready.isEmpty() ? entries : ready;
        return candidates.get(choice.nextInt(candidates.size()));
    }

    FakeProcess randomProcess() {
        int chosen = random.nextInt(entries.size() + agents.size());
        return chosen < entries.size() ? entries.get(chosen) : agents.get(chosen - entries.size());
    }

    void resumeAll() {
        entries.forEach(FakeProcess::resume);
        agents.forEach(FakeProcess::resume);
        regionsPartitioned(false);
    }

    private void disconnectAll(FakeProcess process) {
        entries.forEach(entry -> network.disconnect(process, entry));
        agents.forEach(agent -> network.disconnect(process, agent));
    }

    private void connectAll() {
        for (int one = 0; one < entries.size(); one++) {
            for (int other = one + 1; other < entries.size(); other++) {
                connectInRegion(entries.get(one), entries.get(other));
            }
            for (FakeAgent agent : agents) {
                connectInRegion(entries.get(one), agent);
            }
        }
    }

    private void connectInRegion(FakeProcess one, FakeProcess other) {
        if (one.address().sharesRegionWith(other.address())) {
            network.connect(one, other);
        }
    }

    /**
     * Opens a link to an entry of another region, unless the regions are partitioned or the entry has been replaced.
     */
    void connectAcrossRegions(FakeEntry from, PeerAddress to) {
        scheduler.after(
                random.nextInt(CONNECT_DELAY_SPREAD_NANOS),
                () -> entries.stream()
                        .filter(entry -> entry.address().equals(to) && !regionsPartitioned)
                        .forEach(entry -> network.connect(from, entry)));
    }

    /** Starts or ends a network partition between all regions. */
    void regionsPartitioned(boolean partitioned) {
        regionsPartitioned = partitioned;
        if (partitioned) {
            closeRemoteLinks(1);
        }
    }

    private void closeRemoteLinks(double share) {
        for (FakeEntry one : entries) {
            for (FakeEntry other : entries) {
                if (!one.address().sharesRegionWith(other.address()) && random.nextDouble() < share) {
                    network.disconnect(one, other);
                }
            }
        }
    }

    /** Passes the addresses of all entries to each entry, as the table service does. */
    private void listEntries() {
        List<PeerAddress> listed = entries.stream().map(FakeProcess::address).toList();
        entries.forEach(entry -> entry.deliver(() -> entry.addKnownEntries(listed)));
    }

    private void tick() {
        entries.forEach(entry -> entry.deliver(entry::tick));
        agents.forEach(agent -> agent.deliver(agent::tick));
        scheduler.after(TICK_NANOS, this::tick);
    }

    private void reconnect() {
        connectAll();
        if (site.regions() > 1) {
            listEntries();
            closeRemoteLinks(IDLE_CLOSE_SHARE);
        }
        scheduler.after(RECONNECT_NANOS, this::reconnect);
    }

    private FakeEntry newEntry(String name) {
        FakeEntry entry = new FakeEntry(address(name, Role.ENTRY), config(), this);
        network.add(entry);
        allEntries.add(entry);
        return entry;
    }

    private FakeAgent newAgent(String name) {
        FakeAgent agent = new FakeAgent(address(name, Role.AGENT), config(), this);
        network.add(agent);
        return agent;
    }

    private PeerAddress address(String name, Role role) {
        String dataCentre = "dc-" + Math.floorMod(name.hashCode(), DATA_CENTRES);
        Incarnation incarnation = new Incarnation(name, random.nextLong());
        return new PeerAddress(incarnation, role, region(name), dataCentre, "127.0.0.1", 0);
    }

    private String region(String name) {
        int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        return "region-" + index % site.regions();
    }

    private ConfigState config() {
        ConfigState config = new ConfigState();
        config.apply(site.ticket());
        return config;
    }
}
