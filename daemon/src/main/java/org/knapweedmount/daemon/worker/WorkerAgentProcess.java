package org.knapweedmount.daemon.worker;

import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.worker.WorkerAgent;
import org.knapweedmount.core.worker.WorkerAnnouncement;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerOutput;
import org.knapweedmount.daemon.agent.EntryFinder;
import org.knapweedmount.daemon.link.LinkHandler;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.metrics.EventMetrics;
import org.knapweedmount.daemon.runtime.DecisionLog;
import org.knapweedmount.daemon.runtime.EventLoopDecisions;
import org.knapweedmount.daemon.runtime.IdleWait;
import org.knapweedmount.daemon.runtime.LinkedProcess;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.store.Tables;

/** The agent beside a worker: its links to the entries, its decisions and the calls to the worker. */
public final class WorkerAgentProcess implements RunningProcess {
    private static final int MAX_WAITING = 4 * 1024; // a second of events at the highest rate
    private static final int TICK_MILLIS = 40; // six fit into the time between stopping ahead and the end of a lease
    private static final int HEARTBEAT_MILLIS = 150; // a silent link is closed after ten of them
    private static final int LAST_STOPS_MILLIS = 700; // to stop runs and tell their entries

    private final LinkedProcess settings;
    private final Vertx vertx;
    private final NanoClock clock;
    private final EventLoopDecisions<WorkerAgent> loop;
    private final RetryingQueue<WorkerAgent> results;
    private final LinkTable<WorkerAgent> links;
    private final DecisionLog log;
    private final EventMetrics metrics;
    private final WorkerClient calls;
    private final EntryFinder finder;
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Creates an agent without links.
     *
     * @param settings where the agent is
     * @param vertx the event loop
     * @param clock the clock
     * @param calls the calls to the worker
     * @param tables the table service, in which entries are found
     */
    public WorkerAgentProcess(LinkedProcess settings, Vertx vertx, NanoClock clock, WorkerClient calls, Tables tables) {
        this.settings = settings;
        this.vertx = vertx;
        this.clock = clock;
        this.calls = calls;
        this.log = new DecisionLog(settings.name());
        // Seeded from two clocks, which differ between the starts of a process; a secure one takes 30 ms to set up.
        Random random = ThreadLocalRandom.current();
        this.loop = new EventLoopDecisions<>(vertx.getOrCreateContext(), MAX_WAITING, clock);
        this.results = new RetryingQueue<>(vertx, loop);
        PeerAddress self = new PeerAddress(
                new Incarnation(settings.name(), random.nextLong()),
                Role.AGENT,
                settings.region(),
                settings.dataCentre(),
                settings.host(),
                0);
        LinkOptions options = LinkOptions.agent(HEARTBEAT_MILLIS, random.nextLong());
        this.links = new LinkTable<>(vertx, options, self, () -> 0, clock, loop, new Handler());
        this.metrics = new EventMetrics(log, links, none -> {});
        this.finder = new EntryFinder(vertx, tables, clock, links::know, random.nextLong());
    }

    /** Begins to take decisions and to look for entries. */
    public void start() {
        loop.start(new WorkerAgent(new Output()));
        Ticker.start(vertx, TICK_MILLIS, loop, WorkerAgent::tick);
        settings.seeds().forEach(links::dial);
        finder.start();
    }

    /**
     * Takes an announcement of the worker.
     *
     * @param announcement what the worker tells
     * @return false if the agent has too much to do to take it
     */
    public boolean workerAnnounced(WorkerAnnouncement announcement) {
        return loop.offer((agent, nowNanos) -> agent.announced(announcement, nowNanos));
    }

    /**
     * Takes the word of the worker that it has left.
     *
     * @param id the worker's id
     */
    public void workerLeft(String id) {
        results.add((agent, nowNanos) -> agent.workerLeft(id, nowNanos));
    }

    /**
     * Returns the metrics of this process.
     *
     * @return the metrics
     */
    public EventMetrics metrics() {
        return metrics;
    }

    @Override
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        results.add((agent, nowNanos) -> agent.beginDrain(nowNanos));
        int patienceMillis = Math.max(0, settings.drainMillis() - LAST_STOPS_MILLIS);
        if (!IdleWait.await(loop, agent -> agent.runCount() == 0, clock, patienceMillis)) {
            results.add((agent, nowNanos) -> agent.stopAll(nowNanos));
            IdleWait.await(loop, agent -> agent.runCount() == 0, clock, LAST_STOPS_MILLIS);
        }
        links.close();
        log.close();
    }

    private final class Handler implements LinkHandler<WorkerAgent> {
        @Override
        public void linked(WorkerAgent agent, PeerAddress peer, long nowNanos) {
            log.note("linked", "peer=" + peer.incarnation(), nowNanos);
            agent.linked(peer.incarnation(), nowNanos);
        }

        @Override
        public void unlinked(WorkerAgent agent, Incarnation peer, long nowNanos) {
            log.note("unlinked", "peer=" + peer, nowNanos);
            agent.unlinked(peer, nowNanos);
        }

        @Override
        public void received(WorkerAgent agent, Incarnation from, Message message, long nowNanos) {
            if (message instanceof Peers peers) {
                peers.entries().forEach(links::know);
                return;
            }
            agent.receive(from, message, nowNanos);
        }
    }

    private final class Output implements WorkerOutput {
        @Override
        public void send(Incarnation entry, Message message) {
            links.send(entry, message);
        }

        @Override
        public void start(WorkerIncarnation life, String spec, RunRequest item, long fence, long untilMillis) {
            calls.start(life, spec, item, fence, untilMillis)
                    .onSuccess(reply ->
                            results.add((agent, nowNanos) -> agent.startAnswered(life, item.ref(), reply, nowNanos)));
        }

        @Override
        public void stop(WorkerIncarnation life, RunRef run, long fence) {
            calls.stop(life, run, fence)
                    .onSuccess(
                            reply -> results.add((agent, nowNanos) -> agent.stopAnswered(life, run, reply, nowNanos)));
        }

        @Override
        public void list(
                WorkerIncarnation life,
                long fence,
                long acknowledged,
                long untilMillis,
                long sentNanos,
                int waitMillis) {
            calls.list(life, fence, acknowledged, untilMillis, waitMillis)
                    .onSuccess(reply -> results.add((agent, nowNanos) -> {
                        reply.list().ifPresent(list -> agent.listAnswered(life, sentNanos, list, nowNanos));
                        reply.failure().ifPresent(failure -> agent.listFailed(life, sentNanos, failure, nowNanos));
                    }));
        }

        @Override
        public void logEvent(String event, String detail) {
            log.note(event, detail, clock.nanos());
        }
    }
}
