package org.knapweedmount.daemon.worker;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedMessage;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.worker.AnnouncementOutcome;
import org.knapweedmount.core.worker.ProcessStart;
import org.knapweedmount.core.worker.RunCounter;
import org.knapweedmount.core.worker.WorkerAgent;
import org.knapweedmount.core.worker.WorkerAnnouncement;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerOutput;
import org.knapweedmount.daemon.agent.EntryFinder;
import org.knapweedmount.daemon.link.LinkHandler;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.link.LinkTimings;
import org.knapweedmount.daemon.metrics.LazyProcessMetrics;
import org.knapweedmount.daemon.metrics.ProcessLoadLog;
import org.knapweedmount.daemon.runtime.BoundedWait;
import org.knapweedmount.daemon.runtime.DecisionLog;
import org.knapweedmount.daemon.runtime.EventLoopDecisionQueue;
import org.knapweedmount.daemon.runtime.IdleWait;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.NodeSettings;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.store.TableService;

/** The agent process beside a worker: its links to the entries, its decision queue and its calls to the worker. */
public final class WorkerAgentProcess implements RunningProcess {
    private static final int MAX_WAITING_EVENTS = 4 * 1024; // one second of events at the highest rate
    private static final int TICK_INTERVAL_MILLIS = 40; // six ticks fit between the early stop and the end of a lease
    private static final int FORCED_STOP_MILLIS = 700; // to stop the remaining runs and report them to their entries

    private final NodeSettings settings;
    private final Vertx vertx;
    private final NanoClock clock;
    private final ProcessStart start;
    private final EventLoopDecisionQueue<WorkerAgent> decisions;
    private final RetryingQueue<WorkerAgent> retryingQueue;
    private final LinkTable<WorkerAgent> links;
    private final DecisionLog log;
    private final LazyProcessMetrics metrics;
    private final Counters<RunCounter> counters = new Counters<>(RunCounter.class);
    private final WorkerClient client;
    private final EntryFinder finder;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final Set<String> loggedFaults = new HashSet<>(); // used on the decision thread

    /**
     * Creates an agent that is not started and has no links.
     *
     * @param settings the name, location and addresses of the agent
     * @param vertx provides the event loop
     * @param clock the monotonic clock
     * @param client the client of the worker
     * @param tables the table service, which holds the rows of the entries
     * @param start when the process started, by the clock and by the time of day
     */
    public WorkerAgentProcess(
            NodeSettings settings,
            Vertx vertx,
            NanoClock clock,
            WorkerClient client,
            TableService tables,
            ProcessStart start) {
        this.settings = settings;
        this.start = start;
        this.vertx = vertx;
        this.clock = clock;
        this.client = client;
        this.log = new DecisionLog(settings.name());
        // Seeded from two clocks, so it differs between starts of a process; SecureRandom takes 30 ms to set up.
        Random random = ThreadLocalRandom.current();
        this.decisions = new EventLoopDecisionQueue<>(vertx.getOrCreateContext(), MAX_WAITING_EVENTS, clock);
        this.retryingQueue = new RetryingQueue<>(vertx, decisions);
        PeerAddress self = new PeerAddress(
                new Incarnation(settings.name(), random.nextLong()),
                Role.AGENT,
                settings.region(),
                settings.dataCentre(),
                settings.host(),
                0);
        LinkOptions options = LinkOptions.agent(LinkTimings.HEARTBEAT_MILLIS, random.nextLong())
                .withReceiveTimeout(LinkTimings.RECEIVE_TIMEOUT_MILLIS);
        this.links = new LinkTable<>(vertx, options, self, () -> 0, clock, role -> decisions, new Handler());
        this.metrics =
                new LazyProcessMetrics(log, links, process -> process.counters("worker", RunCounter.class, counters));
        this.finder = new EntryFinder(vertx, tables, clock, links::addKnownEntry, random.nextLong());
    }

    /** Starts the decision queue and the discovery of entries. */
    public void start() {
        decisions.start(new WorkerAgent(new Output(), start));
        Ticker.start(vertx, TICK_INTERVAL_MILLIS, decisions, WorkerAgent::tick);
        ProcessLoadLog loadLog = new ProcessLoadLog(log, links, decisions::takeLongestWaitNanos);
        Ticker.start(vertx, ProcessLoadLog.INTERVAL_MILLIS, decisions, (module, nowNanos) -> loadLog.write(nowNanos));
        settings.seeds().forEach(links::dial);
        finder.start();
    }

    /**
     * Handles an announcement of the worker.
     *
     * @param announcement the announcement
     * @return its outcome, once it has taken effect; fails if it was dropped because the decision queue is full
     */
    public Future<AnnouncementOutcome> workerAnnounced(WorkerAnnouncement announcement) {
        Promise<AnnouncementOutcome> outcome = Promise.promise();
        boolean queued =
                decisions.offer((agent, nowNanos) -> outcome.complete(agent.announced(announcement, nowNanos)));
        if (!queued) {
            outcome.fail("the decision queue is full");
        }
        return outcome.future();
    }

    /**
     * Counts an announcement that is not the worker's, and logs the first one with each fault.
     *
     * @param fault the field that shows that it is not the worker's, one of a fixed set
     */
    public void foreignAnnouncement(String fault) {
        decisions.offer((agent, nowNanos) -> {
            counters.increment(RunCounter.FOREIGN_ANNOUNCEMENTS);
            if (loggedFaults.add(fault)) {
                log.logEvent("announcement-foreign", "fault=" + fault, nowNanos);
            }
        });
    }

    /**
     * Handles the notice of the worker that it has left.
     *
     * @param id the worker's ID
     */
    public void workerLeft(String id) {
        retryingQueue.add((agent, nowNanos) -> agent.workerLeft(id, nowNanos));
    }

    /**
     * Returns the metrics of this process.
     *
     * @return the metrics
     */
    public LazyProcessMetrics metrics() {
        return metrics;
    }

    @Override
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        retryingQueue.add((agent, nowNanos) -> agent.beginDrain(nowNanos));
        int drainLimitMillis = Math.max(0, settings.drainMillis() - FORCED_STOP_MILLIS);
        if (!IdleWait.await(decisions, agent -> agent.runCount() == 0, clock, drainLimitMillis)) {
            retryingQueue.add((agent, nowNanos) -> agent.stopAll(nowNanos));
            IdleWait.await(decisions, agent -> agent.runCount() == 0, clock, FORCED_STOP_MILLIS);
        }
        BoundedWait.await("the links", links.close(), LinkTimings.CLOSE_LIMIT_MILLIS, log, clock);
        log.close();
    }

    private final class Handler implements LinkHandler<WorkerAgent> {
        @Override
        public void linked(WorkerAgent agent, PeerAddress peer, long nowNanos) {
            log.logEvent("linked", "peer=" + peer.incarnation(), nowNanos);
            agent.linkedBeforeAdmission(peer.incarnation(), nowNanos);
        }

        @Override
        public void unlinked(WorkerAgent agent, Incarnation peer, long nowNanos) {
            log.logEvent("unlinked", "peer=" + peer, nowNanos);
            agent.unlinked(peer, nowNanos);
        }

        @Override
        public void received(WorkerAgent agent, Incarnation from, Message message, long nowNanos) {
            if (message instanceof Peers peers) {
                peers.entries().forEach(links::addKnownEntry);
                return;
            }
            if (message instanceof RelayedMessage relayed) {
                links.send(relayed.peer(), relayed.from(from));
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
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest run, long fence, long leaseExpiryMillis) {
            client.start(incarnation, spec, run, fence, leaseExpiryMillis)
                    .onSuccess(reply -> retryingQueue.add(
                            (agent, nowNanos) -> agent.startAnswered(incarnation, run.ref(), reply, nowNanos)));
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            client.stop(incarnation, run, fence)
                    .onSuccess(reply -> retryingQueue.add(
                            (agent, nowNanos) -> agent.stopAnswered(incarnation, run, reply, nowNanos)));
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            client.list(incarnation, fence, acknowledged, leaseExpiryMillis, waitMillis)
                    .onSuccess(reply -> retryingQueue.add((agent, nowNanos) -> {
                        reply.list().ifPresent(list -> agent.listAnswered(incarnation, sentNanos, list, nowNanos));
                        reply.failure()
                                .ifPresent(failure -> agent.listFailed(incarnation, sentNanos, failure, nowNanos));
                    }));
        }

        @Override
        public void checkHealth(WorkerIncarnation incarnation) {
            client.checkHealth(incarnation)
                    .onSuccess(result ->
                            retryingQueue.add((agent, nowNanos) -> agent.healthChecked(incarnation, result, nowNanos)));
        }

        @Override
        public boolean canCheckHealth() {
            return true;
        }

        @Override
        public void logEvent(String event, String detail) {
            log.logEvent(event, detail, clock.nanos());
        }

        @Override
        public void count(RunCounter counter) {
            counters.increment(counter);
        }
    }
}
