package org.knapweedmount.core.worker;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;

/**
 * The decisions of the agent beside one worker, the only process that gives the worker orders.
 *
 * <p>Used by one thread. Each method takes the present time of a steady clock.
 */
public final class WorkerAgent {
    private final WorkerOutput output;
    private final EntryTable entries;
    private final RunTable runCount = new RunTable();
    private final WorkerClock clock = new WorkerClock();
    private final WorkerHealth health = new WorkerHealth();
    private final WorkerPace pace = new WorkerPace();
    private final ListCalls lists = new ListCalls();
    private Optional<WorkerAnnouncement> worker = Optional.empty();
    private Optional<WorkerIncarnation> staleLife = Optional.empty();
    private boolean clean;
    private boolean leaving;
    private long fence;
    private long acknowledged;
    private long latestUntilMillis;

    /**
     * Creates an agent that knows no worker.
     *
     * @param output where the decisions go to
     */
    public WorkerAgent(WorkerOutput output) {
        this.output = output;
        this.entries = new EntryTable(output);
    }

    /**
     * Takes an announcement of the worker.
     *
     * @param announcement what the worker tells
     * @param nowNanos the present time, in ns
     */
    public void announced(WorkerAnnouncement announcement, long nowNanos) {
        boolean known = worker.isPresent() && worker.get().incarnation().equals(announcement.incarnation());
        boolean outdated = known && announcement.sequence() <= worker.get().sequence();
        if (outdated || isPast(announcement.incarnation())) {
            return;
        }
        boolean before = worker.isPresent() && worker.get().draining();
        worker = Optional.of(announcement);
        if (!known) {
            begin(announcement, nowNanos);
        } else if (announcement.draining() != before) {
            output.logEvent(
                    "worker-draining", "worker=" + announcement.incarnation() + " draining=" + announcement.draining());
        }
        settle(nowNanos);
    }

    /** Tells whether an announcement comes from a life that ended before the present one began. */
    private boolean isPast(WorkerIncarnation life) {
        return worker.isPresent()
                && !life.equals(worker.get().incarnation())
                && life.startMillis() <= worker.get().incarnation().startMillis();
    }

    private void begin(WorkerAnnouncement announcement, long nowNanos) {
        output.logEvent("worker-life", "worker=" + announcement.incarnation() + " runs=" + runCount.size());
        // The first list raises the fencing token of the new life, which keeps out orders to the earlier one.
        runCount.all().forEach(run -> end(run, RunOutcome.LAPSED, "", nowNanos));
        clock.forget();
        clock.observe(announcement.clockMillis(), nowNanos);
        staleLife = Optional.empty();
        clean = false;
        lists.reset(nowNanos);
        pace.reset();
        acknowledged = 0;
        latestUntilMillis = 0;
        fence = announcement.incarnation().startMillis() + announcement.clockMillis();
    }

    /**
     * Takes the word of the worker that it has left.
     *
     * @param id the worker's id
     * @param nowNanos the present time, in ns
     */
    public void workerLeft(String id, long nowNanos) {
        if (worker.isEmpty() || !worker.get().incarnation().id().equals(id)) {
            return;
        }
        output.logEvent("worker-left", "worker=" + worker.get().incarnation());
        lifeOver();
        runCount.all().forEach(run -> end(run, RunOutcome.LAPSED, "", nowNanos));
        settle(nowNanos);
    }

    /**
     * Takes a new link to an entry.
     *
     * @param entry the entry
     * @param nowNanos the present time, in ns
     */
    public void linked(Incarnation entry, long nowNanos) {
        entries.linked(entry, runCount, nowNanos);
        output.send(entry, report(entries.of(entry, nowNanos), nowNanos));
    }

    /**
     * Takes the loss of a link.
     *
     * @param entry the entry
     * @param nowNanos the present time, in ns
     */
    public void unlinked(Incarnation entry, long nowNanos) {
        entries.of(entry, nowNanos).unlink(nowNanos);
        settle(nowNanos);
    }

    /**
     * Takes a message of an entry.
     *
     * @param from the entry
     * @param message the message
     * @param nowNanos the present time, in ns
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        EntryLease lease = entries.of(from, nowNanos);
        if (message instanceof RunOrder order) {
            ordered(from, lease, order, nowNanos);
        } else if (message instanceof ResourceDemand demand) {
            lease.demand(demand, nowNanos);
        } else if (message instanceof StopRuns stop) {
            stop.runs().forEach(ref -> runCount.find(ref).ifPresent(run -> stop(run, nowNanos)));
        } else if (message instanceof LeaseRenewal renewal) {
            lease.renew(renewal.timestampNanos(), nowNanos);
        }
        settle(nowNanos);
    }

    private void ordered(Incarnation from, EntryLease lease, RunOrder order, long nowNanos) {
        lease.renew(order.timestampNanos(), nowNanos);
        lease.ordered(order.number());
        lease.answered(order.offer(), !order.jobs().isEmpty());
        lease.demand(order.demand(), nowNanos);
        boolean fresh = nowNanos - order.timestampNanos() <= WorkerTimings.nanos(WorkerTimings.ORDER_MILLIS);
        for (JobRuns job : order.jobs()) {
            for (RunRequest item : job.runs()) {
                Optional<String> refusal = refusal(item, fresh, nowNanos);
                if (refusal.isEmpty()) {
                    start(from, job.spec(), item, nowNanos);
                } else {
                    output.logEvent("run-refused", describe(item.ref()) + " reason=" + refusal.get() + " " + room());
                    entries.ended(from, new RunResult(item.ref(), RunOutcome.REFUSED, 0, ""));
                }
            }
        }
    }

    private Optional<String> refusal(RunRequest item, boolean fresh, long nowNanos) {
        if (!isOpen(nowNanos)) {
            return Optional.of("closed");
        }
        if (!fresh) {
            return Optional.of("old-order");
        }
        if (!item.resources().fits(free())) {
            return Optional.of("no-room");
        }
        if (runCount.holdsTask(item.ref().task())) {
            return Optional.of("task-present");
        }
        return Optional.empty();
    }

    private void start(Incarnation from, String spec, RunRequest item, long nowNanos) {
        runCount.add(new HeldRun(from, item, nowNanos));
        long untilMillis = untilMillis(nowNanos);
        latestUntilMillis = Math.max(latestUntilMillis, untilMillis);
        output.start(life(), spec, item, fence, untilMillis);
    }

    private void stop(HeldRun run, long nowNanos) {
        if (run.state().ending()) {
            return;
        }
        run.enter(RunState.STOPPING, nowNanos);
        output.stop(life(), run.ref(), fence);
    }

    /**
     * Takes the answer to an order to start a run.
     *
     * @param life the life that the order was sent to
     * @param ref the run
     * @param reply the answer
     * @param nowNanos the present time, in ns
     */
    public void startAnswered(WorkerIncarnation life, RunRef ref, StartReply reply, long nowNanos) {
        Optional<HeldRun> found = runCount.find(ref);
        if (found.isEmpty() || !isPresent(life)) {
            return;
        }
        HeldRun run = found.get();
        switch (reply) {
            case STARTED -> {
                if (run.state() == RunState.STARTING) {
                    run.enter(RunState.RUNNING, nowNanos);
                }
            }
            case UNANSWERED -> {
                output.logEvent("start-unanswered", describe(ref) + " worker=" + life);
                stop(run, nowNanos);
            }
            case OUTDATED -> end(run, RunOutcome.OUTDATED, "", nowNanos);
            default -> refused(run, reply, nowNanos);
        }
        settle(nowNanos);
    }

    private void refused(HeldRun run, StartReply reply, long nowNanos) {
        output.logEvent("start-refused", describe(run.ref()) + " reason=" + reply + " worker=" + life());
        end(run, RunOutcome.REFUSED, "", nowNanos);
        switch (reply) {
            case FENCED -> refence(nowNanos);
            case UNHEALTHY -> setAside("unhealthy", nowNanos);
            case OTHER_LIFE -> lifeOver();
            case UNREACHABLE -> silent();
            default -> {
                // The worker's reason concerns this run alone.
            }
        }
    }

    /** Gives the worker no more orders until a later life announces itself. */
    private void lifeOver() {
        staleLife = worker.map(WorkerAnnouncement::incarnation);
    }

    /** Takes no more starts until the worker has answered again. */
    private void silent() {
        if (lists.silenced()) {
            noteSilence();
        }
    }

    private void noteSilence() {
        output.logEvent("worker-silent", "worker=" + life() + " runs=" + runCount.size());
    }

    private void refence(long nowNanos) {
        fence = Math.max(fence, life().startMillis() + clock.millis(nowNanos)) + 1;
        output.logEvent("fence-raised", "worker=" + life() + " fence=" + fence);
    }

    /**
     * Takes the answer to an order to stop a run.
     *
     * @param life the life that the order was sent to
     * @param ref the run
     * @param reply the answer
     * @param nowNanos the present time, in ns
     */
    public void stopAnswered(WorkerIncarnation life, RunRef ref, StopReply reply, long nowNanos) {
        Optional<HeldRun> found = runCount.find(ref);
        if (reply == StopReply.FENCED && isPresent(life)) {
            refence(nowNanos);
        }
        if (found.isEmpty() || !isPresent(life)) {
            return;
        }
        if (reply == StopReply.OTHER_LIFE) {
            end(found.get(), RunOutcome.LAPSED, "", nowNanos);
        }
        if (reply == StopReply.CONFIRMED) {
            found.get().enter(RunState.STOPPED, nowNanos);
            if (!found.get().seen()) {
                list(0, nowNanos);
            }
        }
        settle(nowNanos);
    }

    /**
     * Takes the worker's list.
     *
     * @param life the life that was asked
     * @param sentNanos when the list was asked for, in ns
     * @param list the list
     * @param nowNanos the present time, in ns
     */
    public void listAnswered(WorkerIncarnation life, long sentNanos, RunList list, long nowNanos) {
        if (!isPresent(life)) {
            return;
        }
        lists.ended(sentNanos);
        if (list.startMillis() != life.startMillis()) {
            output.logEvent("worker-restarted", "worker=" + life + " born=" + list.startMillis());
            lifeOver();
            settle(nowNanos);
            return;
        }
        lists.answered(nowNanos);
        clock.observe(list.clockMillis(), nowNanos);
        Set<RunRef> present = takeRunning(list.running(), nowNanos);
        takeEnded(list.ended(), nowNanos);
        takeAbsent(present, sentNanos, nowNanos);
        settle(nowNanos);
    }

    private Set<RunRef> takeRunning(List<RunList.Running> running, long nowNanos) {
        Set<RunRef> present = new HashSet<>();
        int foreign = 0;
        for (RunList.Running row : running) {
            present.add(row.ref());
            Optional<HeldRun> held = runCount.find(row.ref());
            if (held.isEmpty()) {
                foreign++;
                output.stop(life(), row.ref(), fence);
                continue;
            }
            held.get().listed(row.percent(), nowNanos).ifPresent(ratio -> pace.observe(ratio, nowNanos));
            if (held.get().state() == RunState.STARTING) {
                held.get().enter(RunState.RUNNING, nowNanos);
            }
        }
        if (clean != (foreign == 0)) {
            output.logEvent("worker-clean", "worker=" + life() + " foreign=" + foreign);
            clean = foreign == 0;
        }
        return present;
    }

    private void takeEnded(List<RunList.Ended> ended, long nowNanos) {
        for (RunList.Ended row : ended) {
            if (row.number() <= acknowledged) {
                continue;
            }
            acknowledged = row.number();
            Optional<HeldRun> run = runCount.find(row.ref());
            if (run.isEmpty()) {
                continue;
            }
            judge(run.get(), row.ending(), nowNanos);
            end(run.get(), row.ending(), row.checkpoint(), nowNanos);
        }
    }

    private void judge(HeldRun run, RunOutcome ending, long nowNanos) {
        if (ending == RunOutcome.DONE) {
            run.ended(nowNanos).ifPresent(ratio -> pace.observe(ratio, nowNanos));
            if (health.aside()) {
                output.logEvent("worker-back", "worker=" + life());
            }
            health.succeeded();
        } else if (ending == RunOutcome.FAILED && health.failed(nowNanos)) {
            output.logEvent("worker-aside", "worker=" + life() + " reason=failures");
        }
    }

    private void setAside(String reason, long nowNanos) {
        if (health.setAside(nowNanos)) {
            output.logEvent("worker-aside", "worker=" + life() + " reason=" + reason);
        }
    }

    /** Ends runs that the worker would have listed if it had them: the list was asked for after the last answer about them. */
    private void takeAbsent(Set<RunRef> present, long sentNanos, long nowNanos) {
        for (HeldRun run : runCount.all()) {
            boolean asked = run.stateNanos() - sentNanos <= 0;
            if (present.contains(run.ref()) || !asked) {
                continue;
            }
            if (run.state() == RunState.STOPPED) {
                end(run, RunOutcome.STOPPED, "", nowNanos);
            } else if (run.state() == RunState.RUNNING && run.absent() >= WorkerTimings.MAX_ABSENCES) {
                output.logEvent("run-missing", describe(run.ref()) + " worker=" + life());
                stop(run, nowNanos);
            }
        }
    }

    /**
     * Takes the failure to get the worker's list.
     *
     * @param life the life that was asked
     * @param sentNanos when the list was asked for, in ns
     * @param failure why there is no list
     * @param nowNanos the present time, in ns
     */
    public void listFailed(WorkerIncarnation life, long sentNanos, RunListFailure failure, long nowNanos) {
        if (!isPresent(life)) {
            return;
        }
        lists.ended(sentNanos);
        switch (failure) {
            case FENCED -> refence(nowNanos);
            case OTHER_LIFE -> lifeOver();
            case UNREACHABLE -> silent();
            default -> listLost(nowNanos);
        }
    }

    private void listLost(long nowNanos) {
        if (lists.lost(nowNanos)) {
            noteSilence();
        }
        // A worker that breaks off each call at once is asked again at the next tick.
        if (!lists.silent() && lists.isAskedAgainAtOnce()) {
            settle(nowNanos);
        }
    }

    private void end(HeldRun run, RunOutcome ending, String checkpoint, long nowNanos) {
        runCount.remove(run.ref());
        int elapsedMillis = (int) WorkerTimings.millis(nowNanos - run.orderedNanos());
        entries.ended(run.entry(), new RunResult(run.ref(), ending, elapsedMillis, checkpoint));
    }

    /**
     * Stops what may not go on, sends again what was not answered, and keeps the entries informed.
     *
     * @param nowNanos the present time, in ns
     */
    public void tick(long nowNanos) {
        entries.byEntry().forEach((entry, lease) -> {
            lease.expireOffer(nowNanos);
            if (lease.lapsing(nowNanos)) {
                runCount.of(entry).forEach(run -> stop(run, nowNanos));
            }
        });
        stopStalled(nowNanos);
        retryStops(nowNanos);
        endSurelyLapsed(nowNanos);
        entries.forgetGone(runCount, nowNanos);
        settle(nowNanos);
    }

    private void stopStalled(long nowNanos) {
        for (HeldRun run : runCount.matching(run -> run.state() == RunState.RUNNING)) {
            if (StallRule.stalled(run, nowNanos)) {
                output.logEvent("run-stalled", describe(run.ref()) + " percent=" + run.percent() + " worker=" + life());
                setAside("stalled", nowNanos);
                stop(run, nowNanos);
            }
        }
    }

    private void retryStops(long nowNanos) {
        long dueNanos = nowNanos - WorkerTimings.nanos(WorkerTimings.STOP_RETRY_MILLIS);
        for (HeldRun run : runCount.matching(run -> run.state() == RunState.STOPPING)) {
            if (run.stateNanos() - dueNanos <= 0) {
                run.enter(RunState.STOPPING, nowNanos);
                output.stop(life(), run.ref(), fence);
            }
        }
    }

    /** Ends all runs when the worker's clock has certainly passed the last time that it was given. */
    private void endSurelyLapsed(long nowNanos) {
        boolean passed = clock.known() && clock.millis(nowNanos) > latestUntilMillis + WorkerTimings.STOP_MILLIS;
        if (!lists.silent() || runCount.isEmpty() || !passed) {
            return;
        }
        output.logEvent("worker-lapsed", "worker=" + life() + " runs=" + runCount.size());
        runCount.all().forEach(run -> end(run, RunOutcome.LAPSED, "", nowNanos));
    }

    /** Does what follows from any change: tells ends, offers free room, reports, and keeps a list under way. */
    private void settle(long nowNanos) {
        entries.tellEnds();
        if (isOpen(nowNanos)) {
            entries.offerRoom(capacity().minus(runCount.taken()), nowNanos);
        }
        if (pace.changed(nowNanos)) {
            output.logEvent("worker-pace", "worker=" + life() + " percent=" + pace.percent(nowNanos) + " " + room());
        }
        ReportRule.View view = new ReportRule.View(isOpen(nowNanos), free(), capacity(), pace.slowness(nowNanos));
        entries.report(lease -> report(lease, nowNanos), view, nowNanos);
        boolean due = !runCount.isEmpty() || !clean || lists.silent();
        if (due && !lists.underWay() && staleLife.isEmpty() && worker.isPresent()) {
            lists.sent(nowNanos);
            list(clean ? lists.waitMillis(nowNanos) : 0, nowNanos);
        }
    }

    private void list(int waitMillis, long nowNanos) {
        long untilMillis = runCount.isEmpty() ? 0 : untilMillis(nowNanos);
        latestUntilMillis = Math.max(latestUntilMillis, untilMillis);
        output.list(life(), fence, acknowledged, untilMillis, nowNanos, waitMillis);
    }

    private WorkerReport report(EntryLease lease, long nowNanos) {
        WorkerAnnouncement known = worker.orElse(NO_WORKER);
        return new WorkerReport(
                nowNanos,
                known.service(),
                known.incarnation().toString(),
                known.labels(),
                known.capacity(),
                free(),
                isOpen(nowNanos),
                lease.ordersSeen(),
                entries.backlogWithout(lease),
                pace.percent(nowNanos));
    }

    private static final WorkerAnnouncement NO_WORKER =
            new WorkerAnnouncement(new WorkerIncarnation("", 0), "", 0, Resources.NONE, List.of(), false, 0);

    private Resources free() {
        return capacity().minus(runCount.taken()).minus(entries.offered());
    }

    private Resources capacity() {
        return worker.map(WorkerAnnouncement::capacity).orElse(Resources.NONE);
    }

    private boolean isOpen(long nowNanos) {
        return worker.isPresent()
                && !worker.get().draining()
                && staleLife.isEmpty()
                && clean
                && !lists.silent()
                && !leaving
                && health.admits(runCount.size(), nowNanos);
    }

    /** Returns how long all runs may go on: until the first of the leases of their entries ends. */
    private long untilMillis(long nowNanos) {
        long remaining = WorkerTimings.nanos(WorkerTimings.LEASE_MILLIS);
        for (HeldRun run : runCount.all()) {
            remaining = Math.min(remaining, entries.of(run.entry(), nowNanos).expiryNanos() - nowNanos);
        }
        return clock.millis(nowNanos) + Math.max(0, WorkerTimings.millis(remaining));
    }

    private WorkerIncarnation life() {
        return worker.orElse(NO_WORKER).incarnation();
    }

    private boolean isPresent(WorkerIncarnation life) {
        return worker.isPresent() && worker.get().incarnation().equals(life);
    }

    private static String describe(RunRef ref) {
        return "task=" + ref.task() + " run=" + ref.run();
    }

    private String room() {
        return "free=" + free().milliCores() + " runs=" + runCount.size();
    }

    /**
     * Takes no more starts, before a planned stop.
     *
     * @param nowNanos the present time, in ns
     */
    public void beginDrain(long nowNanos) {
        leaving = true;
        settle(nowNanos);
    }

    /**
     * Stops all runs, so that their entries can start them elsewhere.
     *
     * @param nowNanos the present time, in ns
     */
    public void stopAll(long nowNanos) {
        runCount.all().forEach(run -> stop(run, nowNanos));
    }

    /**
     * Counts the runs that take room.
     *
     * @return the number of runs
     */
    public int runCount() {
        return runCount.size();
    }
}
