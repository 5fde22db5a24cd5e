package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.core.cost.InterferenceTable;
import org.knapweedmount.core.cost.ServiceSpeeds;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/** The workers that an entry knows, by their agents. */
final class WorkerViews {
    /** The minimum median that slowdowns are divided by; prevents a division by zero. */
    private static final double MIN_MEDIAN_SLOWDOWN = 0.1;

    /** How many incarnations of an agent are remembered; a replaced one may still send a late report. */
    private static final int MAX_INCARNATIONS = 8;

    private final HealthFloor floor;
    private final DataCentreAccess access;
    private final Map<Incarnation, WorkerView> views = new LinkedHashMap<>();
    private final Map<String, InterferenceTable> interference = new HashMap<>();
    private OptionalLong slowdownsUpdatedNanos = OptionalLong.empty();

    /** The incarnations of each agent in the order of their first links, also those without a view. */
    private final Map<String, List<Incarnation>> incarnations = new HashMap<>();

    /** Creates an empty table whose use of closed workers is not logged. */
    WorkerViews(DataCentreAccess access) {
        this(access, new HealthFloor((event, detail) -> {}));
    }

    WorkerViews(DataCentreAccess access, HealthFloor floor) {
        this.access = access;
        this.floor = floor;
    }

    WorkerView link(Incarnation agent, long nowNanos) {
        WorkerView view = views.computeIfAbsent(agent, key -> new WorkerView(agent, access, nowNanos));
        view.link();
        recordIncarnation(agent);
        return view;
    }

    private void recordIncarnation(Incarnation agent) {
        List<Incarnation> known = incarnations.computeIfAbsent(agent.process(), key -> new ArrayList<>());
        if (known.contains(agent)) {
            return;
        }
        known.add(agent);
        if (known.size() > MAX_INCARNATIONS) {
            known.remove(0);
        }
    }

    Optional<WorkerView> find(Incarnation agent) {
        return Optional.ofNullable(views.get(agent));
    }

    Collection<WorkerView> all() {
        return views.values();
    }

    List<WorkerView> forService(String service) {
        List<WorkerView> found = new ArrayList<>();
        for (WorkerView view : views.values()) {
            if (view.serves(service)) {
                found.add(view);
            }
        }
        return found;
    }

    /** Returns the views of the incarnations of a worker's agent that were linked for the first time before it was. */
    List<WorkerView> earlierIncarnations(WorkerView current) {
        List<Incarnation> known = incarnations.getOrDefault(current.agent().process(), List.of());
        int position = known.indexOf(current.agent());
        return known.subList(0, Math.max(0, position)).stream()
                .flatMap(agent -> find(agent).stream())
                .toList();
    }

    /** Returns whether another worker of a service accepts starts. */
    boolean hasOtherAcceptingStarts(WorkerView one, String service) {
        return views.values().stream().anyMatch(view -> view != one && view.acceptsStarts() && view.serves(service));
    }

    void remove(WorkerView view) {
        views.remove(view.agent());
        access.agentRemoved(view.agent());
    }

    /**
     * Updates the relative slowdown of each worker against the median of its service, and which closed workers are used
     * all the same, from time to time.
     *
     * <p>A slowdown that all workers share is learnt as the duration of tasks by {@link DurationModel}, not as the
     * slowdown of a worker.
     */
    void updateRelativeSlowdowns(long nowNanos) {
        boolean recent = slowdownsUpdatedNanos.isPresent()
                && nowNanos - slowdownsUpdatedNanos.getAsLong() < DispatchTimings.SLOWDOWN_UPDATE_INTERVAL_NANOS;
        if (recent) {
            return;
        }
        slowdownsUpdatedNanos = OptionalLong.of(nowNanos);
        updateFloor();
        Map<String, List<WorkerView>> services = new LinkedHashMap<>();
        for (WorkerView view : views.values()) {
            if (view.acceptsStarts()) {
                services.computeIfAbsent(view.report().orElseThrow().service(), key -> new ArrayList<>())
                        .add(view);
            }
        }
        interference.clear();
        services.forEach((service, workers) -> interference.put(service, interferenceOf(workers)));
        for (List<WorkerView> workers : services.values()) {
            double[] slowdowns = workers.stream()
                    .mapToDouble(WorkerView::reportedSlowdown)
                    .sorted()
                    .toArray();
            double median = Math.max(MIN_MEDIAN_SLOWDOWN, slowdowns[slowdowns.length / 2]);
            workers.forEach(worker -> worker.updateRelativeSlowdown(median));
            ServiceSpeeds.update(
                    workers.stream()
                            .filter(WorkerView::hasMeasuredSlowdown)
                            .map(worker -> new ServiceSpeeds.Reported(worker.speed(), worker.reportedSlowdown()))
                            .toList(),
                    workers.stream().map(WorkerView::speed).toList());
        }
    }

    private void updateFloor() {
        Map<String, List<WorkerView>> services = new LinkedHashMap<>();
        for (WorkerView view : views.values()) {
            if (view.linked() && !view.isEvacuated() && view.report().isPresent()) {
                services.computeIfAbsent(view.report().get().service(), key -> new ArrayList<>())
                        .add(view);
            }
        }
        services.forEach(floor::update);
    }

    private static InterferenceTable interferenceOf(List<WorkerView> workers) {
        return InterferenceTable.of(workers.stream()
                .flatMap(worker -> worker.interference().stream())
                .toList());
    }

    /** Returns the kinds of tasks of a service that slow each other down, by the reports of the agents. */
    InterferenceTable interference(String service) {
        return interference.getOrDefault(service, InterferenceTable.EMPTY);
    }

    /**
     * Returns the admitted cores of all workers of a service that accept starts; those of a faster worker count for as many cores
     * of the median worker as do the same work.
     */
    double cores(String service, long nowNanos) {
        double sum = 0;
        for (WorkerView view : views.values()) {
            if (view.acceptsStarts() && view.serves(service)) {
                sum += view.admittedCores(nowNanos) / view.speed().ratio();
            }
        }
        return sum;
    }

    /**
     * Returns the work that other entries have queued for a service, by the most recent report, in core-milliseconds.
     */
    long otherBacklogCoreMillis(String service) {
        return views.values().stream()
                .filter(view -> view.acceptsStarts() && view.serves(service))
                .max((one, other) -> Long.signum(one.lastReportNanos() - other.lastReportNanos()))
                .map(view -> view.report().orElseThrow().otherBacklogCoreMillis())
                .orElse(0L);
    }
}
