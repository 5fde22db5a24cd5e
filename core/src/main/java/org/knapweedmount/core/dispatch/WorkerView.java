package org.knapweedmount.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunRef;

/** What an entry knows of a worker, by the reports of its agent and its own orders. */
final class WorkerView {
    /** The ratio from which on a worker counts as slow; declared run times are off by up to 40%. */
    private static final double MIN_SLOWNESS = 1.6;

    private final Incarnation agent;
    private final Map<String, WorkTask> ordered = new HashMap<>();
    private final Deque<SentOrder> unseen = new ArrayDeque<>();
    private Optional<WorkerReport> report = Optional.empty();
    private long reportNanos;
    private long renewedNanos;
    private long orders;
    private Optional<ResourceDemand> demanded = Optional.empty();
    private long demandedNanos;
    private boolean linked = true;
    private double slowness = 1;

    private record SentOrder(long number, Resources need) {}

    WorkerView(Incarnation agent, long nowNanos) {
        this.agent = agent;
        this.reportNanos = nowNanos;
    }

    Incarnation agent() {
        return agent;
    }

    boolean linked() {
        return linked;
    }

    void link() {
        linked = true;
        unseen.clear();
        demanded = Optional.empty();
    }

    void unlink() {
        linked = false;
        demanded = Optional.empty();
    }

    void reported(WorkerReport newest, long nowNanos) {
        report = Optional.of(newest);
        reportNanos = nowNanos;
        while (!unseen.isEmpty() && unseen.peek().number() <= newest.lastOrderNumber()) {
            unseen.remove();
        }
    }

    Optional<WorkerReport> report() {
        return report;
    }

    /** Returns when the newest stamp was received, in ns. */
    long reportNanos() {
        return reportNanos;
    }

    boolean open() {
        return linked && report.isPresent() && report.get().acceptsStarts();
    }

    boolean serves(String service) {
        return report.isPresent() && report.get().service().equals(service);
    }

    /** Returns the room that is believed to be free. */
    Resources free() {
        if (!open()) {
            return Resources.NONE;
        }
        Resources free = report.get().free();
        for (SentOrder order : unseen) {
            free = free.minus(order.need());
        }
        return free;
    }

    long nextOrder(Resources need) {
        orders++;
        unseen.add(new SentOrder(orders, need));
        return orders;
    }

    Map<String, WorkTask> ordered() {
        return ordered;
    }

    /** Tells whether a run is the present one of a task that is ordered here. */
    boolean holds(RunRef ref) {
        return ordered.containsKey(ref.task()) && ordered.get(ref.task()).ref().equals(ref);
    }

    /** Returns how much longer tasks run on this worker than expected, by its agent's last report. */
    double pace() {
        return report.map(newest -> newest.slowdownPercent() / 100.0).orElse(1.0);
    }

    /** Returns how much longer tasks run on this worker than on an ordinary one of its service. */
    double slowness() {
        return slowness;
    }

    /** Compares the pace with that of an ordinary worker; small differences are those of declared run times. */
    void compare(double ordinaryPace) {
        double ratio = pace() / ordinaryPace;
        slowness = ratio >= MIN_SLOWNESS ? ratio : 1;
    }

    boolean renewalDue(long nowNanos) {
        return !ordered.isEmpty() && nowNanos - renewedNanos >= DispatchTimes.RENEWAL_NANOS;
    }

    void renewed(long nowNanos) {
        renewedNanos = nowNanos;
    }

    Optional<ResourceDemand> demanded() {
        return demanded;
    }

    long demandedNanos() {
        return demandedNanos;
    }

    void demanded(ResourceDemand demand, long nowNanos) {
        demanded = demand.queuedTasks() == 0 ? Optional.empty() : Optional.of(demand);
        demandedNanos = nowNanos;
    }

    boolean hasLabel(String label) {
        return report.isPresent() && report.get().labels().contains(label);
    }

    /** Counts the tasks of a step that are ordered here. */
    long count(WorkJob job, int step) {
        return ordered.values().stream()
                .filter(task -> task.job() == job && task.stepNumber() == step)
                .count();
    }
}
