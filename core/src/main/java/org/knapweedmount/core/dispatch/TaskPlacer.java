package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunRequest;

/** Orders runs of queued tasks from agents, and tells agents what is still queued. */
final class TaskPlacer {
    private final DispatchOutput output;
    private final JobTable jobs;
    private final WorkerViews workers;
    private final Map<String, Resources> maxCapacity;
    private final DurationModel durations;
    private final DispatchEvents events;
    private final OtherEntries otherEntries;
    private final DemandTargets demandTargets = new DemandTargets();

    /** The services of which agents may have been told of queued tasks. */
    private final Set<String> demandedServices = new HashSet<>();

    /** What is known of the other entries that order runs from the same agents. */
    interface OtherEntries {
        /** Returns whether no run of a job may be ordered now, as another entry may run it. */
        boolean holdBack(String job, long nowNanos);

        /** Returns the number of linked ones. */
        int count();
    }

    TaskPlacer(
            DispatchOutput output,
            JobTable jobs,
            WorkerViews workers,
            Map<String, Resources> maxCapacity,
            DurationModel durations,
            DispatchEvents events,
            OtherEntries otherEntries) {
        this.output = output;
        this.jobs = jobs;
        this.workers = workers;
        this.maxCapacity = maxCapacity;
        this.durations = durations;
        this.events = events;
        this.otherEntries = otherEntries;
    }

    /** Orders runs that fit into the estimated free capacity, and sends a demand for the rest. */
    void place(String service, long nowNanos) {
        boolean queueExists = jobs.hasQueued(service);
        if (!queueExists && !demandedServices.contains(service)) {
            return;
        }
        List<TrackedJob> queued = queueExists ? queuedJobs(service, nowNanos) : List.of();
        List<WorkerView> views = workers.forService(service);
        Map<WorkerView, List<TrackedTask>> chosen = new LinkedHashMap<>();
        FreeCapacities freeCapacities = new FreeCapacities(views, nowNanos);
        QueueShares shares = jobs.shares(service, nowNanos);
        for (TrackedJob job : queued) {
            for (TrackedTask task : job.tasks()) {
                if (task.state() == TaskState.QUEUED) {
                    Optional<WorkerView> worker =
                            Placement.choose(task, freeCapacities, shares, 1 + otherEntries.count(), nowNanos);
                    worker.ifPresent(view -> {
                        freeCapacities.take(view, task.step().need());
                        chosen.computeIfAbsent(view, key -> new ArrayList<>()).add(task);
                        assign(view, task);
                    });
                }
            }
        }
        ResourceDemand demand =
                chosen.isEmpty() ? demandOf(service, queued, shares, nowNanos) : demandOf(service, nowNanos);
        chosen.forEach((view, tasks) -> sendOrder(view, 0, tasks, demand, nowNanos));
        sendDemand(service, views, demand, nowNanos);
        events.flush(nowNanos);
    }

    /** Orders runs that fit into resources which an agent offers; answers the offer also if there is none. */
    void fillOffer(WorkerView view, ResourceOffer offer, long nowNanos) {
        if (view.report().isEmpty()) {
            return;
        }
        String service = view.report().get().service();
        QueueShares shares = jobs.shares(service, nowNanos);
        List<TrackedTask> chosen = new ArrayList<>();
        List<TrackedJob> queued = view.isEvacuated() ? List.of() : queuedJobs(service, nowNanos);
        Placement.fill(view.admitted(offer.resources(), nowNanos), queued, view, shares, nowNanos, task -> {
            chosen.add(task);
            assign(view, task);
        });
        ResourceDemand demand = view.isEvacuated() ? ResourceDemand.NONE : demandOf(service, nowNanos);
        sendOrder(view, offer.number(), chosen, demand, nowNanos);
        events.flush(nowNanos);
    }

    private void assign(WorkerView view, TrackedTask task) {
        task.markOrdered(view.agent());
        task.job().runOrdered();
        view.orderedTasks().put(task.name(), task);
    }

    private void sendOrder(WorkerView view, long offer, List<TrackedTask> tasks, ResourceDemand demand, long nowNanos) {
        Map<TrackedJob, List<RunRequest>> requests = new LinkedHashMap<>();
        Resources need = Resources.NONE;
        for (TrackedTask task : tasks) {
            need = need.plus(task.step().need());
            int expectedMillis = (int) durations.expectedMillis(
                    task.job().request().queue().name(), task.step().estimateMillis());
            RunRequest request = new RunRequest(task.ref(), task.step().need(), expectedMillis, task.checkpoint());
            task.recordOrder(view, nowNanos);
            requests.computeIfAbsent(task.job(), key -> new ArrayList<>()).add(request);
        }
        List<JobRuns> runs = new ArrayList<>();
        requests.forEach((job, list) -> runs.add(new JobRuns(job.request().spec(), list)));
        events.ordered(view, offer, tasks, nowNanos);
        long timestampNanos = view.report().orElseThrow().timestampNanos();
        output.send(view.agent(), new RunOrder(view.registerOrder(need), timestampNanos, offer, runs, demand));
        view.recordDemand(demand, nowNanos);
        if (demand.queuedTasks() > 0) {
            demandedServices.add(view.report().orElseThrow().service());
        }
        view.leaseRenewed(nowNanos);
    }

    /** Returns the jobs that runs may be ordered for. */
    private List<TrackedJob> queuedJobs(String service, long nowNanos) {
        return jobs.queuedJobs(service, job -> otherEntries.holdBack(job, nowNanos), nowNanos);
    }

    private ResourceDemand demandOf(String service, long nowNanos) {
        return demandOf(service, queuedJobs(service, nowNanos), jobs.shares(service, nowNanos), nowNanos);
    }

    private ResourceDemand demandOf(String service, List<TrackedJob> queued, QueueShares shares, long nowNanos) {
        return DemandRule.demand(
                queued,
                shares,
                maxCapacity.getOrDefault(service, Resources.NONE),
                (long) jobs.queuedCoreMillis(service),
                nowNanos);
    }

    private void sendDemand(String service, List<WorkerView> views, ResourceDemand demand, long nowNanos) {
        if (demand.queuedTasks() == 0) {
            demandTargets.queueEmptied(service);
            views.forEach(view -> sendDemand(view, demand, nowNanos));
            if (views.stream().allMatch(view -> view.sentDemand().isEmpty())) {
                demandedServices.remove(service);
            }
            return;
        }
        demandedServices.add(service);
        Set<WorkerView> told = new LinkedHashSet<>(demandTargets.choose(service, views, nowNanos));
        views.stream().filter(view -> view.sentDemand().isPresent()).forEach(told::add);
        told.forEach(view -> sendDemand(view, demand, nowNanos));
    }

    private void sendDemand(WorkerView view, ResourceDemand demand, long nowNanos) {
        if (view.acceptsStarts() && DemandRule.shouldSend(view, demand, nowNanos)) {
            output.send(view.agent(), demand);
            view.recordDemand(demand, nowNanos);
        }
    }
}
