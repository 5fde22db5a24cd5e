package org.knapweedmount.daemon.dispatch;

import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.daemon.link.LinkHandler;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.metrics.EventMetrics;
import org.knapweedmount.daemon.runtime.DecisionLog;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.EventLoopDecisions;
import org.knapweedmount.daemon.runtime.IdleWait;
import org.knapweedmount.daemon.runtime.LinkedProcess;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.RunningProcess;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.store.EntryAnnouncement;
import org.knapweedmount.daemon.store.EntryDirectory;
import org.knapweedmount.daemon.store.EntryRow;
import org.knapweedmount.daemon.store.Tables;

/** An entry that dispatches jobs to workers: its links, its decisions and its place in the table service. */
public final class DispatchEntry implements RunningProcess {
    private static final int MAX_WAITING = 8 * 1024; // a second of events at the highest rate
    private static final int TICK_MILLIS = 25; // short beside the 60 ms that a lookup may wait
    private static final int HEARTBEAT_MILLIS = 150; // a silent link is closed after ten of them
    private static final int INTAKE_MILLIS = 2_500; // the balancer asks each second and takes two misses
    private static final int LAST_ANSWERS_MILLIS = 300;

    private final LinkedProcess settings;
    private final Vertx vertx;
    private final NanoClock clock;
    private final EventLoopDecisions<DispatchModule> decisions;
    private final LinkTable<DispatchModule> links;
    private final DecisionLog log;
    private final EventMetrics metrics;
    private final DispatchModule module;
    private final PeerAddress self;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean ready;
    private volatile EntryAnnouncement announcement;

    /**
     * Creates an entry that has no links yet.
     *
     * @param settings where the entry is
     * @param vertx the event loops
     * @param clock the clock
     * @param answers takes the answers for callers
     */
    public DispatchEntry(LinkedProcess settings, Vertx vertx, NanoClock clock, JobAnswerHandler answers) {
        this.settings = settings;
        this.vertx = vertx;
        this.clock = clock;
        this.log = new DecisionLog(settings.name());
        // Seeded from two clocks, which differ between the starts of a process; a secure one takes 30 ms to set up.
        Random random = ThreadLocalRandom.current();
        AtomicLong version = new AtomicLong();
        this.self = new PeerAddress(
                new Incarnation(settings.name(), random.nextLong()),
                Role.ENTRY,
                settings.region(),
                settings.dataCentre(),
                settings.host(),
                settings.linkPort());
        this.decisions = new EventLoopDecisions<>(vertx.getOrCreateContext(), MAX_WAITING, clock);
        LinkOptions options = LinkOptions.entry(HEARTBEAT_MILLIS, random.nextLong());
        this.links = new LinkTable<>(vertx, options, self, version::get, clock, decisions, new Handler());
        this.module = new DispatchModule(new Output(answers), version, links::know);
        this.metrics = new EventMetrics(
                log, links, process -> process.jobs(module.dispatcher().latencies()));
    }

    /**
     * Begins to take decisions and to accept links.
     *
     * @param tables the table service
     * @return completed when the entry listens for links
     */
    public Future<Void> start(Tables tables) {
        decisions.start(module);
        Ticker.start(vertx, TICK_MILLIS, decisions, this::tick);
        settings.seeds().forEach(links::dial);
        return links.listen(settings.host(), settings.linkPort(), OptionalInt.empty())
                .map(listening -> {
                    announcement = new EntryAnnouncement(vertx, tables, listening);
                    announcement.start();
                    new EntryDirectory(
                                    vertx,
                                    tables,
                                    EntryRow.name(self.incarnation()),
                                    clock::nanos,
                                    known -> known.recent().forEach(links::know))
                            .start();
                    return null;
                });
    }

    private void tick(DispatchModule core, long nowNanos) {
        core.dispatcher().tick(nowNanos);
        ready = core.queues().version() > 0 && core.dispatcher().hasWorkers();
    }

    /**
     * Returns the queue of the decisions.
     *
     * @return takes events of callers
     */
    public DecisionQueue<DispatchModule> decisions() {
        return decisions;
    }

    /**
     * Tells whether callers should be sent here.
     *
     * @return true if the entry has queues and workers and is not stopping
     */
    public boolean isReady() {
        return ready && !stopping.get();
    }

    /**
     * Tells whether a planned stop has begun, after which callers should open no more connections here.
     *
     * @return true if it has
     */
    public boolean isStopping() {
        return stopping.get();
    }

    /**
     * Takes the queues of a version that the operator has written.
     *
     * @param update the version and its queues
     */
    public void applyQueues(QueueUpdate update) {
        if (!decisions.offer((core, nowNanos) -> core.apply(update, "store"))) {
            vertx.setTimer(TICK_MILLIS, timer -> applyQueues(update));
        }
    }

    /**
     * Gives up a job none of whose callers waits any more.
     *
     * @param job the job's id
     */
    public void cancel(String job) {
        if (!decisions.offer((core, nowNanos) -> core.dispatcher().cancel(job, nowNanos))) {
            vertx.setTimer(TICK_MILLIS, timer -> cancel(job));
        }
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
        int answerMillis = Math.max(0, settings.drainMillis() - LAST_ANSWERS_MILLIS);
        long answersNanos = TimeUnit.MILLISECONDS.toNanos(answerMillis);
        decisions.offer((core, nowNanos) -> core.dispatcher().beginDrain(nowNanos + answersNanos));
        // The balancer and callers with open connections still send requests until they have seen the entry leave.
        int intakeMillis = Math.min(INTAKE_MILLIS, answerMillis);
        TimeUnit.MILLISECONDS.sleep(intakeMillis);
        IdleWait.await(decisions, core -> core.dispatcher().unanswered() == 0, clock, answerMillis - intakeMillis);
        // From here on everything is refused, so that no request that is read is left without an answer.
        decisions.offer((core, nowNanos) -> core.dispatcher().finishDrain(nowNanos));
        if (announcement != null) {
            announcement.stop();
        }
        TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_MILLIS);
        log.close();
    }

    private static final class Handler implements LinkHandler<DispatchModule> {
        @Override
        public void linked(DispatchModule core, PeerAddress peer, long nowNanos) {
            core.linked(peer, nowNanos);
        }

        @Override
        public void unlinked(DispatchModule core, Incarnation peer, long nowNanos) {
            core.unlinked(peer, nowNanos);
        }

        @Override
        public void received(DispatchModule core, Incarnation from, Message message, long nowNanos) {
            core.received(from, message, nowNanos);
        }
    }

    private final class Output implements DispatchOutput {
        private final JobAnswerHandler answers;

        private Output(JobAnswerHandler answers) {
            this.answers = answers;
        }

        @Override
        public void send(Incarnation peer, Message message) {
            links.send(peer, message);
        }

        @Override
        public void answer(String job, JobResult verdict) {
            answers.answer(job, verdict);
        }

        @Override
        public void logEvent(String event, String detail) {
            log.note(event, detail, clock.nanos());
        }
    }
}
