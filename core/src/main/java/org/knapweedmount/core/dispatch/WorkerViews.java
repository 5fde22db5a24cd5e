package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;

/** The workers that an entry knows, by their agents. */
final class WorkerViews {
    /** The least pace that others are compared with, so that a division makes sense. */
    private static final double MIN_PACE = 0.1;

    private final Map<Incarnation, WorkerView> views = new LinkedHashMap<>();

    WorkerView link(Incarnation agent, long nowNanos) {
        WorkerView view = views.computeIfAbsent(agent, unknown -> new WorkerView(agent, nowNanos));
        view.link();
        return view;
    }

    Optional<WorkerView> find(Incarnation agent) {
        return Optional.ofNullable(views.get(agent));
    }

    Collection<WorkerView> all() {
        return views.values();
    }

    List<WorkerView> of(String service) {
        List<WorkerView> found = new ArrayList<>();
        for (WorkerView view : views.values()) {
            if (view.serves(service)) {
                found.add(view);
            }
        }
        return found;
    }

    /** Returns the earlier lives of the agent of a worker. */
    List<WorkerView> earlierLives(WorkerView present) {
        return views.values().stream()
                .filter(view -> view != present
                        && view.agent().process().equals(present.agent().process()))
                .toList();
    }

    /** Tells whether another worker of the same service takes starts. */
    boolean othersOpen(WorkerView one) {
        return views.values().stream()
                .anyMatch(view -> view != one
                        && view.open()
                        && view.serves(one.report().orElseThrow().service()));
    }

    void remove(WorkerView view) {
        views.remove(view.agent());
    }

    /**
     * Compares the paces of the workers of each service with the median.
     *
     * <p>What all workers have in common is learnt as the duration of tasks, not as the slowness of workers.
     */
    void comparePaces() {
        Map<String, List<WorkerView>> services = new LinkedHashMap<>();
        for (WorkerView view : views.values()) {
            if (view.open()) {
                services.computeIfAbsent(view.report().orElseThrow().service(), none -> new ArrayList<>())
                        .add(view);
            }
        }
        for (List<WorkerView> workers : services.values()) {
            double[] paces =
                    workers.stream().mapToDouble(WorkerView::pace).sorted().toArray();
            double median = Math.max(MIN_PACE, paces[paces.length / 2]);
            workers.forEach(worker -> worker.compare(median));
        }
    }

    /** Returns the cores of all open workers of a service. */
    double cores(String service) {
        double sum = 0;
        for (WorkerView view : views.values()) {
            if (view.open() && view.serves(service)) {
                sum += view.report().orElseThrow().capacity().milliCores() / 1_000.0;
            }
        }
        return sum;
    }

    /** Returns the work that other entries have queued for a service, by the newest report, in milliseconds of a core. */
    long backlogElsewhere(String service) {
        return views.values().stream()
                .filter(view -> view.open() && view.serves(service))
                .max((one, other) -> Long.signum(one.reportNanos() - other.reportNanos()))
                .map(view -> view.report().orElseThrow().otherBacklogCoreMillis())
                .orElse(0L);
    }
}
