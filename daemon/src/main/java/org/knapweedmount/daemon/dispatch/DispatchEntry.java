package org.knapweedmount.daemon.dispatch;

import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.message.RelayedMessage;
import org.knapweedmount.core.dispatch.CancelResult;
import org.knapweedmount.core.dispatch.DispatchCounter;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.event.EventPriority;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.link.EventQueues;
import org.knapweedmount.daemon.link.LinkHandler;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.link.LinkTimings;
import org.knapweedmount.daemon.metrics.LazyProcessMetrics;
import org.knapweedmount.daemon.metrics.ProcessLoadLog;
import org.knapweedmount.daemon.runtime.BoundedWait;
import org.knapweedmount.daemon.runtime.DecisionLog;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.EventLoopDecisionQueue;
import org.knapweedmount.daemon.runtime.IdleWait;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.NodeSettings;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.store.EntryAnnouncement;
import org.knapweedmount.daemon.store.EntryDirectory;
import org.knapweedmount.daemon.store.EntryRow;
import org.knapweedmount.daemon.store.KnownEntries;
import org.knapweedmount.daemon.store.TableService;

/** An entry that dispatches jobs to workers: its links, its decision queue and its row in the table service. */
public final class DispatchEntry implements RunningProcess {
    private static final int MAX_WAITING_EVENTS = 8 * 1024; // one second of events at the highest rate
    private static final int TICK_INTERVAL_MILLIS = 25; // short compared with the 60 ms that short jobs may wait

    /** The time that is left after the drain to answer what was read and to close connections, in ms. */
    private static final int CLOSE_MILLIS = 600;

    private final NodeSettings settings;
    private final Vertx vertx;
    private final NanoClock clock;
    private final EventLoopDecisionQueue<DispatchModule> decisions;
    private final DecisionQueue<DispatchModule> urgentDecisions;
    private final DecisionQueue<DispatchModule> agentDecisions;
    private final LinkTable<DispatchModule> links;
    private final DecisionLog log;
    private final LazyProcessMetrics metrics;
    private final Counters<DispatchCounter> counters = new Counters<>(DispatchCounter.class);
    private final DispatchModule dispatchModule;
    private final PeerAddress self;
    private final RetryingQueue<DispatchModule> retryingQueue;
    private final JobAnswerHandler callers;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger negativeProbes = new AtomicInteger();
    private final Promise<Void> firstReady = Promise.promise();
    private volatile boolean ready;
    private volatile EntryAnnouncement announcement;

    /**
     * Creates an entry that is not started and has no links.
     *
     * @param settings the name, location and addresses of the entry
     * @param vertx provides the event loops
     * @param clock the monotonic clock
     * @param answerHandler receives the answers to jobs
     */
    public DispatchEntry(NodeSettings settings, Vertx vertx, NanoClock clock, JobAnswerHandler answerHandler) {
        this.settings = settings;
        this.vertx = vertx;
        this.clock = clock;
        this.log = new DecisionLog(settings.name());
        // Seeded from two clocks, so it differs between starts of a process; SecureRandom takes 30 ms to set up.
        Random random = ThreadLocalRandom.current();
        AtomicLong appliedVersion = new AtomicLong();
        this.self = new PeerAddress(
                new Incarnation(settings.name(), random.nextLong()),
                Role.ENTRY,
                settings.region(),
                settings.dataCentre(),
                settings.host(),
                settings.linkPort());
        this.decisions = new EventLoopDecisionQueue<>(vertx.getOrCreateContext(), MAX_WAITING_EVENTS, clock);
        this.urgentDecisions = decisions.ofPriority(EventPriority.ENTRY);
        this.agentDecisions = decisions.ofPriority(EventPriority.AGENT);
        this.retryingQueue = new RetryingQueue<>(vertx, decisions);
        this.callers = answerHandler;
        LinkOptions options = LinkOptions.entry(LinkTimings.HEARTBEAT_MILLIS, random.nextLong())
                .withReceiveTimeout(LinkTimings.RECEIVE_TIMEOUT_MILLIS);
        this.links = new LinkTable<>(vertx, options, self, appliedVersion::get, clock, new Queues(), new Handler());
        this.dispatchModule = new DispatchModule(new Output(answerHandler), appliedVersion, links::addKnownEntry);
        this.metrics = new LazyProcessMetrics(log, links, process -> {
            process.jobs(dispatchModule.dispatcher().status().latencies());
            process.waits(dispatchModule.dispatcher().status().waits());
            process.counters("dispatch", DispatchCounter.class, counters);
        });
    }

    /**
     * Starts the decision queue and accepts links.
     *
     * @param tables the table service
     * @return completes when the entry listens for links; fails if it cannot, for example because the port is in use
     */
    public Future<Void> start(TableService tables) {
        decisions.start(dispatchModule);
        urgentDecisions.offer(
                (module, nowNanos) -> module.dispatcher().startupEntries().started(nowNanos));
        Ticker.start(vertx, TICK_INTERVAL_MILLIS, urgentDecisions, this::tick);
        ProcessLoadLog loadLog = new ProcessLoadLog(log, links, decisions::takeLongestWaitNanos);
        Ticker.start(
                vertx, ProcessLoadLog.INTERVAL_MILLIS, urgentDecisions, (module, nowNanos) -> loadLog.write(nowNanos));
        settings.seeds().forEach(links::dial);
        return links.listen(settings.host(), settings.linkPort(), OptionalInt.empty())
                .map(advertised -> {
                    announcement = new EntryAnnouncement(vertx, tables, advertised);
                    announcement.start();
                    new EntryDirectory(
                                    vertx,
                                    tables,
                                    EntryRow.rowId(self.incarnation()),
                                    clock::nanos,
                                    this::entriesListed)
                            .start();
                    return null;
                });
    }

    private void tick(DispatchModule module, long nowNanos) {
        module.dispatcher().tick(nowNanos);
        ready = module.queues().version() > 0
                && module.dispatcher().status().hasWorkers()
                && !module.dispatcher().startupEntries().isAwaiting(nowNanos);
        if (ready) {
            firstReady.tryComplete();
        }
    }

    /**
     * Waits until the entry can serve callers for the first time.
     *
     * @param limitMillis the longest wait, in ms
     * @return completes when the entry has queues and workers and admits jobs, or after the limit; never fails
     */
    public Future<Void> readyWithin(int limitMillis) {
        vertx.setTimer(limitMillis, timer -> firstReady.tryComplete());
        return firstReady.future();
    }

    private void entriesListed(KnownEntries known) {
        known.recent().forEach(links::addKnownEntry);
        urgentDecisions.offer((module, nowNanos) -> module.entriesListed(known.recent(), settings.name()));
    }

    /**
     * Returns the decision queue.
     *
     * @return the queue to which events of callers are offered
     */
    public DecisionQueue<DispatchModule> decisions() {
        return decisions;
    }

    /**
     * Answers a probe of the balancer, which is told by the negative answers to send no more callers.
     *
     * @return true if the entry has queues and workers and is not stopping
     */
    public boolean answerProbe() {
        if (stopping.get()) {
            negativeProbes.incrementAndGet();
            return false;
        }
        return ready;
    }

    /**
     * Returns whether a planned stop has begun, after which callers should open no new connections to this entry.
     *
     * @return true once {@link #stop} was called
     */
    public boolean isStopping() {
        return stopping.get();
    }

    /**
     * Applies a version of the queue configuration from an operator; retries while the decision queue is full.
     *
     * @param update the version and its queues
     */
    public void applyQueues(QueueUpdate update) {
        if (!urgentDecisions.offer((module, nowNanos) -> module.apply(update, "store"))) {
            vertx.setTimer(TICK_INTERVAL_MILLIS, timer -> applyQueues(update));
        }
    }

    /**
     * Applies the closed data centres as read from the store; retries while the decision queue is full.
     *
     * @param update the closed data centres and the store's version
     */
    public void applyClosedDataCentres(ClosedDataCentres update) {
        if (!urgentDecisions.offer((module, nowNanos) -> module.evacuation().apply(update, "store", nowNanos))) {
            vertx.setTimer(TICK_INTERVAL_MILLIS, timer -> applyClosedDataCentres(update));
        }
    }

    /** Counts a row of the operator whose key cannot be read. */
    public void countUnreadableOrder() {
        counters.increment(DispatchCounter.ORDERS_UNREADABLE);
    }

    /**
     * Ends a job for which no caller waits any more; retries while the decision queue is full.
     *
     * @param job the job's ID
     */
    public void callerLeft(String job) {
        if (!decisions.offer((module, nowNanos) -> module.dispatcher().callerLeft(job, nowNanos))) {
            vertx.setTimer(TICK_INTERVAL_MILLIS, timer -> callerLeft(job));
        }
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
        long startNanos = clock.nanos();
        int drainLimitMillis = Math.max(0, settings.drainMillis() - CLOSE_MILLIS);
        long drainEndNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(drainLimitMillis);
        retryingQueue.add((module, nowNanos) -> module.dispatcher().beginDrain(drainEndNanos));
        // A request that follows the last one of these questions is answered while the connections are closed.
        IdleWait.await(decisions, module -> mayLeave(module, startNanos), clock, drainLimitMillis);
        long offeredNanos = clock.nanos();
        Promise<Void> drained = Promise.promise();
        retryingQueue.add((module, nowNanos) -> {
            finishDrain(module, offeredNanos, nowNanos);
            drained.complete();
        });
        if (announcement != null) {
            announcement.stop();
        }
        int closeLimitMillis = settings.drainMillis() - LinkTimings.CLOSE_LIMIT_MILLIS;
        await("the drain", drained.future(), millisLeft(closeLimitMillis, startNanos));
        int callersLimitMillis = millisLeft(closeLimitMillis, startNanos);
        await("the connections of callers", callers.shutdown(callersLimitMillis), callersLimitMillis);
        await("the links", links.close(), LinkTimings.CLOSE_LIMIT_MILLIS);
        log.close();
    }

    private int millisLeft(int limitMillis, long startNanos) {
        return (int) Math.max(0, limitMillis - TimeUnit.NANOSECONDS.toMillis(clock.nanos() - startNanos));
    }

    private boolean mayLeave(DispatchModule module, long startNanos) {
        long nowNanos = clock.nanos();
        boolean owesNothing = module.dispatcher().status().owesNothing() && callers.unanswered() == 0;
        return LeaveRule.mayLeave(
                negativeProbes.get(), nowNanos - startNanos, owesNothing, nowNanos - callers.lastRequestNanos());
    }

    private void await(String what, Future<Void> ended, int limitMillis) throws InterruptedException {
        BoundedWait.await(what, ended, limitMillis, log, clock);
    }

    private void finishDrain(DispatchModule module, long offeredNanos, long nowNanos) {
        log.logEvent(
                "drain-ended",
                "unanswered=" + module.dispatcher().status().unanswered() + " waiting="
                        + module.dispatcher().status().waitingRequests() + " lag-millis="
                        + TimeUnit.NANOSECONDS.toMillis(nowNanos - offeredNanos),
                nowNanos);
        module.dispatcher().finishDrain(nowNanos);
    }

    /** What other entries ask and answer comes first, also if agents pass it on. */
    private final class Queues implements EventQueues<DispatchModule> {
        @Override
        public DecisionQueue<DispatchModule> ofLink(Role peer) {
            return peer == Role.ENTRY ? urgentDecisions : agentDecisions;
        }

        @Override
        public DecisionQueue<DispatchModule> ofMessage(Role sender, Message message) {
            return message instanceof RelayedMessage ? urgentDecisions : ofLink(sender);
        }
    }

    private static final class Handler implements LinkHandler<DispatchModule> {
        @Override
        public void linked(DispatchModule module, PeerAddress peer, long nowNanos) {
            module.linked(peer, nowNanos);
        }

        @Override
        public void unlinked(DispatchModule module, Incarnation peer, long nowNanos) {
            module.unlinked(peer, nowNanos);
        }

        @Override
        public void received(DispatchModule module, Incarnation from, Message message, long nowNanos) {
            module.received(from, message, nowNanos);
        }
    }

    private final class Output implements DispatchOutput {
        private final JobAnswerHandler answerHandler;

        private Output(JobAnswerHandler answerHandler) {
            this.answerHandler = answerHandler;
        }

        @Override
        public void send(Incarnation peer, Message message) {
            links.send(peer, message);
        }

        @Override
        public void answer(String job, JobResult result) {
            answerHandler.answer(job, result);
        }

        @Override
        public void answerCancel(String job, CancelResult result) {
            answerHandler.answerCancel(job, result);
        }

        @Override
        public void logEvent(String event, String detail) {
            log.logEvent(event, detail, clock.nanos());
        }

        @Override
        public void count(DispatchCounter counter) {
            counters.increment(counter);
        }
    }
}
