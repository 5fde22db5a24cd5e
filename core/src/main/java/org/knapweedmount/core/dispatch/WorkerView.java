package org.knapweedmount.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.cost.InterferenceTable;
import org.knapweedmount.core.cost.WorkerSpeed;
import org.knapweedmount.core.evacuation.DataCentreAccess;
import org.knapweedmount.core.evacuation.ReopeningSteps;

/** An entry's view of a worker, from the reports of the worker's agent and the entry's own orders. */
final class WorkerView {
    /**
     * The ratio to the median from which a worker counts as slow for the moment; declared run times are off by up to 40%.
     * Smaller ratios count once they have lasted ({@link WorkerSpeed}).
     */
    private static final double MIN_SLOWDOWN_RATIO = 1.6;

    /** A worker has enough runs to be compared with others if at least its cores divided by this number are in use. */
    private static final int MIN_USED_DIVISOR = 8;

    private final Incarnation agent;
    private final DataCentreAccess access;
    private final Map<String, TrackedTask> orderedTasks = new HashMap<>();
    private final Deque<SentOrder> unacknowledgedOrders = new ArrayDeque<>();
    private Optional<WorkerReport> report = Optional.empty();
    private long lastReportNanos;
    private long lastRenewalNanos;
    private long lastStopRepeatNanos;
    private long lastOrderNumber;
    private Optional<ResourceDemand> sentDemand = Optional.empty();
    private long demandSentNanos;
    private boolean linked = true;
    private int linkNumber;
    private double momentarySlowdown = 1;
    private WorkerSpeed speed = new WorkerSpeed();
    private String worker = "";
    private OptionalLong coldUntilNanos = OptionalLong.empty();
    private long unhealthySinceNanos;
    private boolean usedBeyondFloor;

    private record SentOrder(long number, Resources resources) {}

    WorkerView(Incarnation agent, long nowNanos) {
        this(agent, new DataCentreAccess(), nowNanos);
    }

    WorkerView(Incarnation agent, DataCentreAccess access, long nowNanos) {
        this.agent = agent;
        this.access = access;
        this.lastReportNanos = nowNanos;
        this.lastStopRepeatNanos = nowNanos;
    }

    Incarnation agent() {
        return agent;
    }

    boolean linked() {
        return linked;
    }

    /** Returns the number of the last link to the agent, from 1 up. */
    int linkNumber() {
        return linkNumber;
    }

    /** Starts a new link; what was reported on an earlier one may not include the runs that are active now. */
    void link() {
        linked = true;
        linkNumber++;
        report = Optional.empty();
        unacknowledgedOrders.clear();
        sentDemand = Optional.empty();
    }

    void unlink() {
        linked = false;
        sentDemand = Optional.empty();
    }

    void reportReceived(WorkerReport received, long nowNanos) {
        if (!received.worker().equals(worker)) {
            worker = received.worker();
            speed = new WorkerSpeed();
        }
        if (!reportsUnhealthy()) {
            unhealthySinceNanos = nowNanos;
        }
        if (received.condition().coldMillis() > 0) {
            coldUntilNanos = OptionalLong.of(nowNanos
                    + TimeUnit.MILLISECONDS.toNanos(received.condition().coldMillis()));
        }
        report = Optional.of(received);
        lastReportNanos = nowNanos;
        while (!unacknowledgedOrders.isEmpty() && unacknowledgedOrders.peek().number() <= received.lastOrderNumber()) {
            unacknowledgedOrders.remove();
        }
    }

    /** Returns the last report on the current link, which follows the agent's list of its active runs. */
    Optional<WorkerReport> report() {
        return report;
    }

    /** Returns when the last report was received, in ns. */
    long lastReportNanos() {
        return lastReportNanos;
    }

    /** Returns whether the last report is so old that every run ordered under it must have ended. */
    boolean isSilent(long nowNanos) {
        return nowNanos - lastReportNanos > DispatchTimings.MAX_RUN_END_NANOS;
    }

    /** Returns whether runs may be ordered: the worker accepts starts, or is used although it is closed. */
    boolean acceptsStarts() {
        return !isEvacuated() && (reportsAcceptance() || (usedBeyondFloor && reportsUnhealthy()));
    }

    /** Returns whether the worker accepts starts by the last report. */
    boolean reportsAcceptance() {
        return linked && report.isPresent() && report.get().acceptsStarts();
    }

    /** Returns whether the data centre of the worker is closed by the operator. */
    boolean isEvacuated() {
        return access.isClosed(agent);
    }

    /** Returns the cores that runs may be ordered on in all; fewer than the worker has after its data centre was closed. */
    double admittedCores(long nowNanos) {
        int milliCores = report.orElseThrow().capacity().milliCores();
        return (milliCores - withheld(nowNanos).milliCores()) / 1_000.0;
    }

    /** Returns what is left of free resources without those that may not be used soon after a reopening. */
    Resources admitted(Resources free, long nowNanos) {
        return free.minus(withheld(nowNanos));
    }

    private Resources withheld(long nowNanos) {
        int percent = ReopeningSteps.ALL_PERCENT - access.admittedPercent(agent, nowNanos);
        if (percent == 0) {
            return Resources.NONE;
        }
        long milliCores = report.orElseThrow().capacity().milliCores();
        return new Resources((int) (milliCores * percent / ReopeningSteps.ALL_PERCENT), 0, 0);
    }

    /** Returns whether the worker accepts no starts only because of its health, by the last report. */
    boolean reportsUnhealthy() {
        return linked
                && report.isPresent()
                && report.get().condition().availability() == WorkerCondition.Availability.UNHEALTHY;
    }

    /** Returns when the first of the last reports was received by which the worker is unhealthy, in ns. */
    long unhealthySinceNanos() {
        return unhealthySinceNanos;
    }

    /** Records that a run has failed, so that other closed workers are used first. */
    void runFailed(long nowNanos) {
        unhealthySinceNanos = nowNanos;
    }

    /** Orders runs although the worker is closed for its health, or no longer. */
    void useBeyondFloor(boolean used) {
        usedBeyondFloor = used;
    }

    /** Returns whether the worker was slow at a time because it had just started. */
    boolean wasColdAt(long nanos) {
        return coldUntilNanos.isPresent() && coldUntilNanos.getAsLong() - nanos > 0;
    }

    /** Returns whether the agent tells this entry of large changes at once, so that its worker is preferred. */
    boolean isPrompt() {
        return report.isPresent() && report.get().prompt();
    }

    boolean serves(String service) {
        return report.isPresent() && report.get().service().equals(service);
    }

    /**
     * Returns the estimated free capacity: the last report minus the orders that it does not include, and minus what may
     * not be used soon after a reopening.
     */
    Resources freeCapacity(long nowNanos) {
        if (!acceptsStarts()) {
            return Resources.NONE;
        }
        Resources free = report.get().free();
        for (SentOrder order : unacknowledgedOrders) {
            free = free.minus(order.resources());
        }
        return admitted(free, nowNanos);
    }

    long registerOrder(Resources resources) {
        lastOrderNumber++;
        unacknowledgedOrders.add(new SentOrder(lastOrderNumber, resources));
        return lastOrderNumber;
    }

    Map<String, TrackedTask> orderedTasks() {
        return orderedTasks;
    }

    /** Returns whether a run is the current one of a task that is ordered here, and its job is not answered. */
    boolean mayContinue(RunRef ref) {
        TrackedTask task = orderedTasks.get(ref.task());
        return task != null && task.ref().equals(ref) && !task.job().answered();
    }

    /** Returns the runs that were ordered here and whose jobs are answered. */
    List<RunRef> runsOfAnsweredJobs() {
        return orderedTasks.values().stream()
                .filter(task -> task.job().answered())
                .map(TrackedTask::ref)
                .toList();
    }

    boolean stopRepeatDue(long nowNanos) {
        return nowNanos - lastStopRepeatNanos >= DispatchTimings.STOP_REPEAT_INTERVAL_NANOS;
    }

    void stopRepeated(long nowNanos) {
        lastStopRepeatNanos = nowNanos;
    }

    /** Returns the ratio of actual to expected run times on this worker, by the last report of its agent. */
    double reportedSlowdown() {
        return report.map(newest -> newest.slowdownPercent() / 100.0).orElse(1.0);
    }

    /** Returns the ratio of run times on this worker to those on the median worker of its service. */
    double relativeSlowdown() {
        return momentarySlowdown >= MIN_SLOWDOWN_RATIO ? momentarySlowdown : speed.ratio();
    }

    /** Compares the slowdown with the median; ratios within the error of declared run times are ignored. */
    void updateRelativeSlowdown(double medianSlowdown) {
        momentarySlowdown = reportedSlowdown() / medianSlowdown;
    }

    /** Returns the lasting speed of the worker's current incarnation. */
    WorkerSpeed speed() {
        return speed;
    }

    /** Returns whether the slowdown in the last report was measured on enough runs to compare it with that of others. */
    boolean hasMeasuredSlowdown() {
        if (!acceptsStarts() || report.get().condition().coldMillis() > 0) {
            return false;
        }
        int capacity = report.get().capacity().milliCores();
        return report.get().slowdownPercent() > 0
                && (capacity - report.get().free().milliCores()) * MIN_USED_DIVISOR >= capacity;
    }

    /** Returns the pairs of kinds of tasks that slow each other down here, by the last report of the agent. */
    List<KindInterference> interference() {
        return report.isEmpty() ? List.of() : report.get().condition().interference();
    }

    /**
     * Returns how many times as long a run of a task takes here beside the runs that are known to be here, plus what these
     * lose by it, as a fraction of the run: this entry's own ones, and those that the agent has told with its pairs.
     */
    double interference(String kind, InterferenceTable table) {
        double ownSlowdown = 1;
        double slowdownOfOthers = 1;
        for (TrackedTask task : orderedTasks.values()) {
            String neighbour = task.job().request().queue().name();
            ownSlowdown = Math.max(ownSlowdown, table.slowdown(kind, neighbour));
            slowdownOfOthers = Math.max(slowdownOfOthers, table.slowdown(neighbour, kind));
        }
        for (KindInterference pair : interference()) {
            if (pair.kind().equals(kind) && pair.neighbourRuns() > 0) {
                ownSlowdown = Math.max(ownSlowdown, table.slowdown(kind, pair.neighbour()));
            }
            if (pair.neighbour().equals(kind) && pair.kindRuns() > 0) {
                slowdownOfOthers = Math.max(slowdownOfOthers, table.slowdown(pair.kind(), kind));
            }
        }
        return ownSlowdown + slowdownOfOthers - 1;
    }

    /** Returns how much longer the worker is slow after its start, in ms. */
    double coldMillis(long nowNanos) {
        if (report.isEmpty() || report.get().condition().coldMillis() == 0) {
            return 0;
        }
        double sinceReportMillis = (double) (nowNanos - lastReportNanos) / TimeUnit.MILLISECONDS.toNanos(1);
        return Math.max(0, report.get().condition().coldMillis() - sinceReportMillis);
    }

    boolean renewalDue(long nowNanos) {
        return !orderedTasks.isEmpty() && nowNanos - lastRenewalNanos >= DispatchTimings.LEASE_RENEWAL_INTERVAL_NANOS;
    }

    void leaseRenewed(long nowNanos) {
        lastRenewalNanos = nowNanos;
    }

    Optional<ResourceDemand> sentDemand() {
        return sentDemand;
    }

    long demandSentNanos() {
        return demandSentNanos;
    }

    void recordDemand(ResourceDemand demand, long nowNanos) {
        sentDemand = demand.queuedTasks() == 0 ? Optional.empty() : Optional.of(demand);
        demandSentNanos = nowNanos;
    }

    boolean hasLabel(String label) {
        return report.isPresent() && report.get().labels().contains(label);
    }

    /** Returns the number of tasks of a step that are ordered here. */
    long countOrdered(TrackedJob job, int step) {
        return orderedTasks.values().stream()
                .filter(task -> task.job() == job && task.stepNumber() == step)
                .count();
    }
}
