package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/**
 * Schedules the jobs of the callers of one entry onto workers.
 *
 * <p>Not thread-safe. Each method takes the current time of a monotonic clock.
 */
public final class Dispatcher {
    /** How far a run number is raised if the worker has seen a higher one; more than the attempts of a task. */
    private static final int OUTDATED_RUN_SKIP_COUNT = 10;

    private final DispatchOutput output;
    private final DurationModel durations = new DurationModel();
    private final WorkerViews workers = new WorkerViews();
    private final JobOwnership ownership;
    private final JobTable jobs = new JobTable();
    private final StallDetector stalls = new StallDetector();
    private final Map<String, Resources> maxCapacity = new HashMap<>();
    private final DispatchEvents events;
    private final JobAdmission admission;
    private final JobAnswers answers;
    private final StopOrders stopOrders;
    private final DispatchStatus status;
    private final HeldRequests heldRequests = new HeldRequests();
    private OptionalLong drainByNanos = OptionalLong.empty();

    /**
     * Creates a dispatcher without jobs and workers.
     *
     * @param output the receiver of decisions
     */
    public Dispatcher(DispatchOutput output) {
        this.output = output;
        this.events = new DispatchEvents(output);
        this.ownership = new JobOwnership(output);
        this.answers = new JobAnswers(output, events);
        this.stopOrders = new StopOrders(output, events);
        this.status = new DispatchStatus(jobs, workers, answers);
        this.admission = new JobAdmission(output, workers, jobs, maxCapacity);
    }

    /**
     * Submits a job; {@link DispatchOutput#answer} receives the result, at once if the job is refused.
     *
     * @param request the job
     * @param nowNanos the current time, in ns
     */
    public void submit(JobRequest request, long nowNanos) {
        stalls.eventReceived(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        if (heldRequests.isHolding(nowNanos)) {
            output.logEvent("job-read-after-stall", "job=" + request.id());
            ownership.held(request.id(), heldRequests.hold(request).submittedNanos());
            return;
        }
        submit(new WaitingRequest(request, nowNanos), nowNanos);
    }

    private void submit(WaitingRequest submitted, long nowNanos) {
        JobRequest request = submitted.request();
        Optional<TrackedJob> held = jobs.find(request.id());
        held.ifPresent(events::resubmitted);
        if (held.isPresent() && !held.get().answered()) {
            ownership.held(request.id(), submitted.submittedNanos());
        } else if (held.isPresent() || ownership.mayBeHeldElsewhere(request.id(), nowNanos)) {
            events.waitsForEntries(request.id(), ownership.holders(request.id()));
            ownership.awaitEnd(submitted, nowNanos);
        } else {
            admit(request, submitted.submittedNanos(), nowNanos);
        }
    }

    private void admit(JobRequest submitted, long submittedNanos, long nowNanos) {
        JobRequest request = drainByNanos.isPresent() ? submitted.dueBy(drainByNanos.getAsLong()) : submitted;
        TrackedJob job = new TrackedJob(request, durations.criticalPathMillis(request), nowNanos);
        int entries = 1 + ownership.peers().size();
        Optional<JobResult> refusal = admission.refusal(job, entries, nowNanos);
        if (refusal.isPresent()) {
            ownership.ended(request.id());
            output.answer(request.id(), refusal.get());
            return;
        }
        jobs.add(job);
        ownership.held(job.id(), submittedNanos);
        place(request.queue().service(), nowNanos);
    }

    /** Orders runs that fit into the estimated free capacity, and sends a demand for the rest. */
    private void place(String service, long nowNanos) {
        List<TrackedJob> queued = queuedJobs(service, nowNanos);
        List<WorkerView> views = workers.forService(service);
        if (queued.isEmpty()
                && views.stream().allMatch(view -> view.sentDemand().isEmpty())) {
            return;
        }
        Map<WorkerView, List<TrackedTask>> chosen = new LinkedHashMap<>();
        FreeCapacities freeCapacities = new FreeCapacities(views, nowNanos);
        QueueShares shares = jobs.shares(service, nowNanos);
        for (TrackedJob job : queued) {
            for (TrackedTask task : job.tasks()) {
                if (task.state() == TaskState.QUEUED) {
                    place(task, freeCapacities, shares, chosen, nowNanos);
                }
            }
        }
        ResourceDemand demand =
                chosen.isEmpty() ? demandOf(service, queued, shares, nowNanos) : demandOf(service, nowNanos);
        chosen.forEach((view, tasks) -> sendOrder(view, 0, tasks, demand, nowNanos));
        sendDemand(views, demand, nowNanos);
        events.flush(nowNanos);
    }

    private void place(
            TrackedTask task,
            FreeCapacities freeCapacities,
            QueueShares shares,
            Map<WorkerView, List<TrackedTask>> chosen,
            long nowNanos) {
        Placement.choose(task, freeCapacities, shares, nowNanos).ifPresent(view -> {
            freeCapacities.take(view, task.step().need());
            chosen.computeIfAbsent(view, key -> new ArrayList<>()).add(task);
            assign(view, task);
        });
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
        view.leaseRenewed(nowNanos);
    }

    /** Returns the jobs that runs may be ordered for; none that another entry holds as well, or may after a stall. */
    private List<TrackedJob> queuedJobs(String service, long nowNanos) {
        if (heldRequests.isHolding(nowNanos)) {
            return List.of();
        }
        return jobs.queuedJobs(service, ownership::isHeldElsewhere, nowNanos);
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

    private void sendDemand(List<WorkerView> views, ResourceDemand demand, long nowNanos) {
        for (WorkerView view : views) {
            if (view.acceptsStarts() && DemandRule.shouldSend(view, demand, nowNanos)) {
                output.send(view.agent(), demand);
                view.recordDemand(demand, nowNanos);
            }
        }
    }

    /**
     * Handles a new link to an agent.
     *
     * @param agent the agent
     * @param nowNanos the current time, in ns
     */
    public void agentLinked(Incarnation agent, long nowNanos) {
        stalls.eventReceived(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        workers.link(agent, nowNanos);
    }

    /**
     * Handles a new link to another entry.
     *
     * @param entry the entry
     */
    public void entryLinked(Incarnation entry) {
        ownership.linked(entry);
    }

    /**
     * Handles the loss of a link.
     *
     * @param peer the process at the other end
     * @param nowNanos the current time, in ns
     */
    public void unlinked(Incarnation peer, long nowNanos) {
        stalls.eventReceived(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        workers.find(peer).ifPresent(WorkerView::unlink);
        ownership.unlinked(peer, nowNanos);
    }

    /**
     * Handles a message.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the current time, in ns
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        stalls.messageReceived(from, message, nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        if (message instanceof JobOwnershipUpdate update) {
            events.ownedByPeer(from, update, jobs);
            JobOwnership.Changes changes = ownership.updateReceived(from, update, nowNanos);
            changes.surrendered().forEach(job -> surrender(job, nowNanos));
            changes.freed().forEach(job -> resume(job, "ended-there", nowNanos));
        } else if (message instanceof Peers linked) {
            ownership.peersReported(from, linked, nowNanos);
        } else if (message instanceof LinkedEntries linked) {
            ownership.linkedEntriesReported(from, linked, nowNanos);
        } else if (message instanceof YieldJob request) {
            yieldJob(from, request.job(), nowNanos);
        } else if (message instanceof RelayedYield request) {
            yieldJobByWayOf(from, request, nowNanos);
        } else if (message instanceof RelayedEnd end && ownership.relayedEndReceived(end)) {
            resume(end.job(), "ended-there", nowNanos);
        }
        Optional<WorkerView> view = workers.find(from);
        if (view.isEmpty()) {
            return;
        }
        if (message instanceof WorkerReport report) {
            handleReport(view.get(), report, nowNanos);
        } else if (message instanceof ResourceOffer offer) {
            handleOffer(view.get(), offer, nowNanos);
        } else if (message instanceof RunsEnded ended) {
            ended.results().forEach(result -> handleResult(view.get(), result, nowNanos));
            view.get().report().ifPresent(report -> place(report.service(), nowNanos));
        } else if (message instanceof ActiveRuns runs) {
            resynchronize(view.get(), runs.runs(), nowNanos);
        }
    }

    /** Continues with a job that no other entry holds any more, or with the request that waits for that. */
    private void resume(String id, String reason, long nowNanos) {
        Optional<TrackedJob> job = jobs.find(id);
        if (job.isEmpty() && !ownership.isHeldElsewhere(id)) {
            ownership.removeAwaiting(id).ifPresent(waiting -> {
                events.released(id, reason);
                admit(waiting.request(), waiting.submittedNanos(), nowNanos);
            });
        }
        job.ifPresent(held -> place(held.request().queue().service(), nowNanos));
    }

    private void yieldJob(Incarnation from, String id, long nowNanos) {
        output.logEvent(
                "job-yielded",
                "job=" + id + " entry=" + from + " held=" + jobs.find(id).isPresent());
        surrender(id, nowNanos);
        if (jobs.find(id).isEmpty()) {
            ownership.denyHolding(from, id, nowNanos);
        }
    }

    /** Gives up a job for an entry that is cut off from this one; an agent passes on the answer. */
    private void yieldJobByWayOf(Incarnation agent, RelayedYield request, long nowNanos) {
        String id = request.job();
        output.logEvent(
                "job-yielded",
                "job=" + id + " entry=" + request.peer() + " by=" + agent + " held="
                        + jobs.find(id).isPresent());
        surrender(id, nowNanos);
        if (jobs.find(id).isEmpty()) {
            output.send(agent, new RelayedEnd(request.peer(), id, request.number()));
        }
    }

    /** Gives up a job, or the request that waits for it, which its caller has submitted to another entry since. */
    private void surrender(String id, long nowNanos) {
        Optional<TrackedJob> job = jobs.find(id);
        dropAwaiting(id, "sent again to another entry");
        if (job.isPresent() && !job.get().answered()) {
            conclude(job.get(), JobResult.givenUp("sent again to another entry"), nowNanos);
        }
    }

    /** Gives up the request that waits for a job; returns false if there is none. */
    private boolean dropAwaiting(String id, String reason) {
        boolean held = heldRequests.remove(id);
        if (ownership.removeAwaiting(id).isEmpty() && !held) {
            return false;
        }
        if (jobs.find(id).isPresent()) {
            ownership.ending(id);
        } else {
            ownership.ended(id);
        }
        events.released(id, reason);
        output.answer(id, JobResult.givenUp(reason));
        return true;
    }

    private void handleReport(WorkerView view, WorkerReport report, long nowNanos) {
        boolean newlyAccepting = report.acceptsStarts() && !view.acceptsStarts();
        view.reportReceived(report, nowNanos);
        maxCapacity.merge(report.service(), report.capacity(), Resources::max);
        if (newlyAccepting) {
            // A worker accepts starts only when no run of the agent's earlier incarnation is left and none can start.
            workers.earlierIncarnations(view)
                    .forEach(earlierView -> releaseRuns(earlierView, LossCause.AGENT_REPLACED, nowNanos));
        }
        stopOrders.repeat(view, nowNanos);
        if (view.renewalDue(nowNanos)) {
            view.leaseRenewed(nowNanos);
            output.send(view.agent(), new LeaseRenewal(report.timestampNanos()));
        }
        place(report.service(), nowNanos);
    }

    private void handleOffer(WorkerView view, ResourceOffer offer, long nowNanos) {
        if (view.report().isEmpty()) {
            return;
        }
        String service = view.report().get().service();
        QueueShares shares = jobs.shares(service, nowNanos);
        List<TrackedTask> chosen = new ArrayList<>();
        Placement.fill(offer.resources(), queuedJobs(service, nowNanos), view, shares, nowNanos, task -> {
            chosen.add(task);
            assign(view, task);
        });
        sendOrder(view, offer.number(), chosen, demandOf(service, nowNanos), nowNanos);
        events.flush(nowNanos);
    }

    private void handleResult(WorkerView view, RunResult result, long nowNanos) {
        TrackedTask task = view.orderedTasks().get(result.ref().task());
        if (task == null || !task.ref().equals(result.ref())) {
            return;
        }
        view.orderedTasks().remove(task.name());
        task.updateCheckpoint(result.checkpoint());
        task.recordDecision(result.outcome() + " after " + result.elapsedMillis() + "ms", nowNanos);
        events.ended(view, result);
        if (!result.outcome().mayHaveRun()) {
            task.job().runRefused();
        }
        if (task.job().answered()) {
            task.markEnded();
            removeIfDone(task.job(), nowNanos);
            return;
        }
        switch (result.outcome()) {
            case DONE -> completeTask(view, task, result, nowNanos);
            case FAILED -> recordFailure(task, nowNanos);
            case OUTDATED -> task.skipRunNumbers(OUTDATED_RUN_SKIP_COUNT);
            default -> {
                // The outcome says nothing about the task.
            }
        }
        if (task.state() == TaskState.ORDERED) {
            String service = task.job().request().queue().service();
            if (result.outcome().mayHaveRun() && workers.hasOtherAcceptingStarts(view, service)) {
                task.avoidCurrentAgent();
            }
            task.markQueued();
        }
    }

    private void completeTask(WorkerView view, TrackedTask task, RunResult result, long nowNanos) {
        String queue = task.job().request().queue().name();
        int estimate = task.step().estimateMillis();
        durations.observe(queue, estimate, result.elapsedMillis() / view.relativeSlowdown());
        task.markEnded();
        task.job().queueUnblockedTasks();
        if (task.job().isDone()) {
            conclude(task.job(), JobResult.completed(), nowNanos);
        }
    }

    private void recordFailure(TrackedTask task, long nowNanos) {
        task.recordFailure();
        WorkQueue queue = task.job().request().queue();
        if (task.failures() >= queue.maxAttempts()) {
            task.markEnded();
            conclude(task.job(), JobResult.failed("a task failed " + task.failures() + " times"), nowNanos);
        }
    }

    /**
     * Requeues tasks whose runs an agent does not have, and stops the runs that must not go on. An agent sends its runs
     * first on a new link.
     */
    private void resynchronize(WorkerView view, List<RunRef> held, long nowNanos) {
        stopOrders.linked(view, held, nowNanos);
        for (TrackedTask task : List.copyOf(view.orderedTasks().values())) {
            if (!held.contains(task.ref())) {
                handleLostRun(view, task, LossCause.NEW_LINK, nowNanos);
            }
        }
    }

    private void handleLostRun(WorkerView view, TrackedTask task, LossCause cause, long nowNanos) {
        view.orderedTasks().remove(task.name());
        jobs.runLost(task.ref());
        task.recordDecision("lost at " + view.agent().process(), nowNanos);
        events.lost(view, task, cause);
        if (task.job().answered()) {
            task.markEnded();
            removeIfDone(task.job(), nowNanos);
        } else {
            task.markQueued();
        }
    }

    /** Releases the runs of an agent that must all have ended. */
    private void releaseRuns(WorkerView view, LossCause cause, long nowNanos) {
        List<TrackedTask> tasks = List.copyOf(view.orderedTasks().values());
        stopOrders.released(view, tasks);
        tasks.forEach(task -> handleLostRun(view, task, cause, nowNanos));
        if (!view.linked()) {
            workers.remove(view);
        }
    }

    /** Answers a job and stops its remaining runs. */
    private void conclude(TrackedJob job, JobResult result, long nowNanos) {
        job.markAnswered();
        ownership.ending(job.id());
        answers.answer(job, result, nowNanos);
        job.endTasksWithoutRun();
        stopOrders.answered(job);
        removeIfDone(job, nowNanos);
    }

    private void removeIfDone(TrackedJob job, long nowNanos) {
        if (job.isDone() && jobs.remove(job)) {
            ownership.ended(job.id());
            resume(job.id(), "ended-here", nowNanos);
        }
    }

    /**
     * Cancels a job whose caller has disconnected or asked for it.
     *
     * @param id the job's ID
     * @param nowNanos the current time, in ns
     * @return true if the job was held and unanswered, or its request waited for an earlier submission
     */
    public boolean cancel(String id, long nowNanos) {
        if (dropAwaiting(id, "cancelled")) {
            return true;
        }
        Optional<TrackedJob> job = jobs.find(id);
        if (job.isEmpty() || job.get().answered()) {
            return false;
        }
        conclude(job.get(), JobResult.givenUp("cancelled"), nowNanos);
        return true;
    }

    /**
     * Expires jobs and releases runs that must have ended; call this periodically.
     *
     * @param nowNanos the current time, in ns
     */
    public void tick(long nowNanos) {
        stalls.ticked(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        heldRequests.release(nowNanos).forEach(request -> submit(request, nowNanos));
        workers.updateRelativeSlowdowns();
        events.flush(nowNanos);
        for (WorkerView view : List.copyOf(workers.all())) {
            if (view.isSilent(nowNanos)) {
                releaseRuns(view, LossCause.AGENT_SILENT, nowNanos);
            }
        }
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                ExpiryRule.result(job, nowNanos).ifPresent(result -> conclude(job, result, nowNanos));
            }
        }
        ownership.releaseLost(nowNanos).forEach(job -> resume(job, "leases-ended", nowNanos));
        ownership.expired(nowNanos).forEach(id -> dropAwaiting(id, "held by another entry"));
        ownership.sendUpdates(nowNanos);
        for (WorkerView view : workers.all()) {
            if (view.acceptsStarts()) {
                place(view.report().orElseThrow().service(), nowNanos);
                return;
            }
        }
    }

    /**
     * Holds requests and orders after a stall, because other entries may have admitted the jobs; gives up all jobs if the
     * leases of their runs have ended.
     */
    private void recover(StallDetector.Stall stall, long nowNanos) {
        heldRequests.stallEnded(stall, nowNanos);
        if (!stall.endedLinks()) {
            output.logEvent("entry-paused", stall.description() + " jobs=" + jobs.unanswered());
            return;
        }
        List<String> waiting = ownership.awaited();
        output.logEvent(
                "entry-stalled", stall.description() + " jobs=" + jobs.unanswered() + " waiting=" + waiting.size());
        waiting.forEach(id -> dropAwaiting(id, "the entry stood still"));
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                conclude(job, JobResult.givenUp("the entry stood still"), nowNanos);
            }
        }
    }

    /**
     * Starts the drain before a planned stop: admits only jobs that can be done before it ends.
     *
     * @param deadlineNanos when the last answer has to be given, in ns
     */
    public void beginDrain(long deadlineNanos) {
        drainByNanos = OptionalLong.of(deadlineNanos);
    }

    /**
     * Ends the drain: answers all remaining jobs and refuses new ones.
     *
     * @param nowNanos the current time, in ns
     */
    public void finishDrain(long nowNanos) {
        beginDrain(nowNanos);
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                boolean started = job.hasStarted();
                conclude(job, started ? JobResult.givenUp("leaving") : JobResult.notRun("leaving", 0), nowNanos);
            }
        }
    }

    /**
     * Returns what this entry tells about its jobs and workers.
     *
     * @return the present status, which changes with the dispatcher
     */
    public DispatchStatus status() {
        return status;
    }
}
