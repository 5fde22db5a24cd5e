package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.CancelJob;
import org.knapweedmount.api.message.CancelReply;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/**
 * Schedules the jobs of the callers of one entry onto workers.
 *
 * <p>Not thread-safe. Each method takes the current time of a monotonic clock.
 */
public final class Dispatcher {
    private final DispatchOutput output;
    private final DurationModel durations = new DurationModel();
    private final WorkerViews workers;
    private final JobOwnership ownership;
    private final JobTable jobs = new JobTable();
    private final StallDetector stalls = new StallDetector();
    private final Map<String, Resources> maxCapacity = new HashMap<>();
    private final DispatchEvents events;
    private final JobAdmission admission;
    private final JobAnswers answers;
    private final StopOrders stopOrders;
    private final DispatchStatus status;
    private final JobCancels cancels;
    private final TaskPlacer placer;
    private final RunResults runResults;
    private final HeldRequests heldRequests = new HeldRequests();
    private final StartupEntries startupEntries;
    private final QueuedJobCheck queuedJobCheck;
    private final Drain drain = new Drain();
    private final WaitingRequests waitingRequests;

    /**
     * Creates a dispatcher without jobs and workers.
     *
     * @param output the receiver of decisions
     * @param access the data centres of agents, and which of them are closed
     */
    public Dispatcher(DispatchOutput output, DataCentreAccess access) {
        this(output, access, DispatchSettings.DEFAULT);
    }

    /**
     * Creates a dispatcher without jobs and workers.
     *
     * @param output the receiver of decisions
     * @param access the data centres of agents, and which of them are closed
     * @param settings what the operator sets for the admission of jobs and the placement of runs
     */
    public Dispatcher(DispatchOutput output, DataCentreAccess access, DispatchSettings settings) {
        this.output = output;
        this.events = new DispatchEvents(output);
        this.workers = new WorkerViews(access, new HealthFloor(output::logEvent));
        this.ownership = new JobOwnership(output);
        this.waitingRequests = new WaitingRequests(ownership, heldRequests, drain, durations);
        this.startupEntries = new StartupEntries(ownership::areJobsKnown);
        this.queuedJobCheck = new QueuedJobCheck(jobs, ownership);
        this.answers = new JobAnswers(output, events);
        this.stopOrders = new StopOrders(output, events);
        this.cancels = new JobCancels(output);
        this.admission = new JobAdmission(output, workers, jobs, maxCapacity, settings);
        RunCosts costs = new RunCosts(durations, workers, settings);
        DecisionExplainer explainer =
                new DecisionExplainer(workers, jobs, durations, costs, admission, drain, ownership);
        this.status = new DispatchStatus(
                jobs, workers, answers, events.waitLatencies(), waitingRequests::all, cancels::waiting, explainer);
        this.placer = new TaskPlacer(
                output, jobs, workers, maxCapacity, costs, events, new CompetingEntries(heldRequests, ownership));
        this.runResults = new RunResults(workers, durations, costs, events, this::conclude, this::removeIfDone);
    }

    /**
     * Submits a job whose request has just been read; {@link DispatchOutput#answer} receives the result, at once if the
     * job is refused.
     *
     * @param request the job
     * @param nowNanos the current time, in ns
     */
    public void submit(JobRequest request, long nowNanos) {
        submit(request, nowNanos, nowNanos);
    }

    /**
     * Submits a job; {@link DispatchOutput#answer} receives the result, at once if the job is refused.
     *
     * @param request the job
     * @param readNanos when its request was read, in ns; it has waited for this entry's processor since then
     * @param nowNanos the current time, in ns
     */
    public void submit(JobRequest request, long readNanos, long nowNanos) {
        stalls.eventReceived(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        if (cancels.isCancelled(request.id())) {
            output.answer(request.id(), JobResult.cancelled());
            return;
        }
        WaitingRequest read = heldRequests.read(request, readNanos, nowNanos);
        if (drain.hasEnded()) {
            refuse(read, Drain.notRun(), nowNanos);
            return;
        }
        Optional<JobResult> tooLarge = admission.sizeRefusal(request, waitingRequests.taskCount());
        if (tooLarge.isPresent()) {
            refuse(read, tooLarge.get(), nowNanos);
            return;
        }
        if (isHoldingRequests(nowNanos)) {
            events.held(request.id(), heldRequests.isHolding(nowNanos) ? WaitReason.STALL : WaitReason.START, nowNanos);
            heldRequests.hold(read);
            ownership.requestHeld(read, nowNanos);
            return;
        }
        Optional<JobResult> refusal = LagRule.refusal(read, durations.criticalPathMillis(request), nowNanos);
        if (refusal.isPresent() && jobs.find(request.id()).isEmpty()) {
            events.refusedForLag(read, nowNanos);
            refuse(read, refusal.get(), nowNanos);
            return;
        }
        submit(read, readNanos, nowNanos);
    }

    /** Refuses a request at once; a job that may run somewhere is not said not to have run. */
    private void refuse(WaitingRequest read, JobResult notRun, long nowNanos) {
        String id = read.request().id();
        RequiredKnowledge required = RequiredKnowledge.ofRefusal(read.submittedNanos(), read.readNanos(), nowNanos);
        boolean mayRun = jobs.find(id).isPresent()
                || startupEntries.isAwaiting(nowNanos)
                || ownership.mayBeHeldElsewhereAtSubmission(id, required, nowNanos);
        output.answer(id, mayRun ? JobResult.givenUp(notRun.reason()) : notRun);
    }

    private boolean isHoldingRequests(long nowNanos) {
        return heldRequests.isHolding(nowNanos) || startupEntries.isAwaiting(nowNanos);
    }

    /**
     * Returns the entries whose jobs have to be known before requests are admitted after the start.
     *
     * @return the entries, which are to be told of the start and of each list of entries
     */
    public StartupEntries startupEntries() {
        return startupEntries;
    }

    private void releaseHeld(long nowNanos) {
        if (!heldRequests.isEmpty() && !isHoldingRequests(nowNanos)) {
            heldRequests.release().forEach(request -> submit(request, nowNanos, nowNanos));
        }
    }

    /** Submits a job whose target counts from a time; what holds up the requests of all callers is not counted. */
    private void submit(WaitingRequest submitted, long arrivalNanos, long nowNanos) {
        JobRequest request = submitted.request();
        Optional<TrackedJob> held = jobs.find(request.id());
        events.submitted(request.id(), nowNanos);
        held.ifPresent(job -> events.resubmitted(job, nowNanos));
        if (held.isPresent() && !held.get().answered()) {
            ownership.held(request.id(), submitted.submittedNanos());
        } else if (held.isPresent()
                || ownership.mayBeHeldElsewhereAtSubmission(request.id(), submitted.required(), nowNanos)) {
            events.waitsForEntries(
                    request.id(),
                    ownership.holders(request.id()),
                    ownership.unconfirmedHolders(request.id()),
                    nowNanos);
            ownership.awaitEnd(submitted, nowNanos);
        } else {
            admit(request, submitted.submittedNanos(), arrivalNanos, nowNanos);
        }
    }

    private void admit(JobRequest request, long submittedNanos, long arrivalNanos, long nowNanos) {
        TrackedJob job = new TrackedJob(request, durations.criticalPathMillis(request), arrivalNanos);
        int entries = 1 + ownership.peers().size();
        Optional<JobResult> refusal = drain.refusal(request).or(() -> admission.refusal(job, entries, nowNanos));
        if (refusal.isPresent()) {
            ownership.ended(request.id());
            output.answer(request.id(), refusal.get());
            return;
        }
        jobs.add(job);
        ownership.held(job.id(), submittedNanos);
        events.admitted(job.id(), submittedNanos, nowNanos);
        placer.place(request.queue().service(), nowNanos);
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
        events.entries().agentLinked(agent, nowNanos);
    }

    /**
     * Handles a new link to another entry.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void entryLinked(Incarnation entry, long nowNanos) {
        stalls.eventReceived(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        ownership.linked(entry, nowNanos);
        events.entries().entryLinked(entry);
        cancels.linked(entry);
        queuedJobCheck.entriesReported(true, nowNanos);
    }

    private void resumeConfirmed(long nowNanos) {
        ownership.confirmed(nowNanos).forEach(job -> resume(job, "known-not-held", nowNanos));
        releaseHeld(nowNanos);
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
        events.entries().unlinked(peer);
        cancels.unlinked(peer);
        resumeConfirmed(nowNanos);
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
        events.entries().received(from, message);
        if (message instanceof JobOwnershipUpdate update) {
            events.ownedByPeer(from, update, jobs);
            JobOwnership.Changes changes = ownership.updateReceived(from, update, nowNanos);
            changes.surrendered().forEach(job -> surrender(job, nowNanos));
            changes.freed().forEach(job -> resume(job, "ended-there", nowNanos));
        } else if (message instanceof OwnershipProbe probe) {
            ownership.probeReceived(from, probe, nowNanos);
        } else if (message instanceof OwnershipProbeReply reply) {
            ownership.probeAnswered(from, reply, nowNanos);
        } else if (message instanceof Peers linked) {
            startupEntries.listedByPeer(linked.entries().stream()
                    .map(entry -> entry.incarnation().process())
                    .toList());
            queuedJobCheck.entriesReported(ownership.peersReported(from, linked, nowNanos), nowNanos);
        } else if (message instanceof LinkedEntries linked) {
            queuedJobCheck.entriesReported(ownership.linkedEntriesReported(from, linked, nowNanos), nowNanos);
            resumeConfirmed(nowNanos);
        } else if (message instanceof CancelJob request) {
            cancels.toldByPeer(from, request.job(), end(request.job(), JobResult.cancelled(), nowNanos), nowNanos);
        } else if (message instanceof CancelReply reply) {
            cancels.replyReceived(from, reply, nowNanos);
        } else if (message instanceof YieldJob request) {
            yieldJob(from, request.job(), nowNanos);
        } else if (message instanceof RelayedYield request) {
            yieldJobsByWayOf(from, request, nowNanos);
        } else if (message instanceof RelayedEnd end) {
            ownership.relayedEndReceived(end).forEach(job -> resume(job, "ended-there", nowNanos));
        }
        Optional<WorkerView> view = workers.find(from);
        if (view.isEmpty()) {
            resumeConfirmed(nowNanos);
            return;
        }
        if (message instanceof WorkerReport report) {
            handleReport(view.get(), report, nowNanos);
        } else if (message instanceof ResourceOffer offer) {
            placer.fillOffer(view.get(), offer, nowNanos);
        } else if (message instanceof RunsEnded ended) {
            ended.results().forEach(result -> runResults.apply(view.get(), result, nowNanos));
            view.get().report().ifPresent(report -> placer.place(report.service(), nowNanos));
        } else if (message instanceof ActiveRuns runs) {
            resynchronize(view.get(), runs.runs(), nowNanos);
        }
    }

    /** Continues with a job that no other entry holds any more, or with the request that waits for that. */
    private void resume(String id, String reason, long nowNanos) {
        Optional<TrackedJob> job = jobs.find(id);
        if (job.isEmpty() && !ownership.isHeldElsewhere(id)) {
            ownership.removeAwaiting(id).ifPresent(waiting -> admitWaiting(waiting, reason, nowNanos));
        }
        job.ifPresent(held -> placer.place(held.request().queue().service(), nowNanos));
    }

    /** Admits a request that has waited, unless an entry has become known meanwhile that may hold its job. */
    private void admitWaiting(WaitingRequest waiting, String reason, long nowNanos) {
        String id = waiting.request().id();
        if (ownership.mayBeHeldElsewhere(id, waiting.required(), nowNanos)) {
            ownership.awaitEnd(waiting, nowNanos);
            return;
        }
        ownership.confirmationEnded(id);
        events.released(id, reason, nowNanos);
        admit(waiting.request(), waiting.submittedNanos(), nowNanos, nowNanos);
    }

    private void yieldJob(Incarnation from, String id, long nowNanos) {
        output.logEvent(
                "job-yielded",
                "job=" + id + " entry=" + from + " held=" + jobs.find(id).isPresent());
        surrender(id, nowNanos);
        if (jobs.find(id).isEmpty()) {
            ownership.denyHolding(from, id);
        }
    }

    /** Gives up jobs for an entry that is cut off from this one; an agent passes on the answer. */
    private void yieldJobsByWayOf(Incarnation agent, RelayedYield request, long nowNanos) {
        List<String> released = new ArrayList<>();
        for (String id : request.jobs()) {
            boolean held = jobs.find(id).isPresent();
            if (held) {
                output.logEvent(
                        "job-yielded", "job=" + id + " entry=" + request.peer() + " by=" + agent + " held=true");
            }
            surrender(id, nowNanos);
            if (jobs.find(id).isEmpty()) {
                released.add(id);
            }
        }
        if (!released.isEmpty()) {
            output.send(agent, new RelayedEnd(request.peer(), released, request.number()));
        }
    }

    /** Gives up a job, or the request that waits for it, which its caller has submitted to another entry since. */
    private void surrender(String id, long nowNanos) {
        Optional<TrackedJob> job = jobs.find(id);
        dropAwaiting(id, "sent again to another entry", nowNanos);
        if (job.isPresent() && !job.get().answered()) {
            conclude(job.get(), JobResult.givenUp("sent again to another entry"), nowNanos);
        }
    }

    /** Gives up the request that waits for a job; returns false if there is none. */
    private boolean dropAwaiting(String id, String reason, long nowNanos) {
        return dropAwaiting(id, JobResult.givenUp(reason), nowNanos);
    }

    private boolean dropAwaiting(String id, JobResult result, long nowNanos) {
        boolean held = heldRequests.remove(id);
        if (ownership.removeAwaiting(id).isEmpty() && !held) {
            return false;
        }
        ownership.confirmationEnded(id);
        if (jobs.find(id).isPresent()) {
            ownership.ending(id);
        } else {
            ownership.ended(id);
        }
        events.released(id, result.reason(), nowNanos);
        output.answer(id, result);
        return true;
    }

    private void handleReport(WorkerView view, WorkerReport report, long nowNanos) {
        boolean newlyAccepting = report.acceptsStarts() && !view.reportsAcceptance();
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
        placer.place(report.service(), nowNanos);
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
        events.lost(view, task, cause, nowNanos);
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
        ownership.confirmationEnded(job.id());
        answers.answer(job, result, nowNanos);
        job.endTasksWithoutRun();
        stopOrders.answered(job);
        removeIfDone(job, nowNanos);
    }

    private void removeIfDone(TrackedJob job, long nowNanos) {
        if (job.isDone() && jobs.remove(job)) {
            if (!heldRequests.contains(job.id())) {
                ownership.ended(job.id());
            }
            resume(job.id(), "ended-here", nowNanos);
        }
    }

    /**
     * Ends a job whose caller has disconnected; the caller may submit it again.
     *
     * @param id the job's ID
     * @param nowNanos the current time, in ns
     * @return true if the job was held and unanswered, or its request waited for an earlier submission
     */
    public boolean callerLeft(String id, long nowNanos) {
        return end(id, JobResult.givenUp("cancelled"), nowNanos);
    }

    /**
     * Cancels a job, which another entry may hold; {@link DispatchOutput#answerCancel} receives the result. The job is not
     * run again.
     *
     * @param id the job's ID
     * @param nowNanos the current time, in ns
     */
    public void cancel(String id, long nowNanos) {
        boolean held = end(id, JobResult.cancelled(), nowNanos);
        cancels.cancelled(id, held, ownership.peers(), ownership.hasCutOffEntries(), nowNanos);
    }

    /** Ends a job or the request that waits for it; returns false if neither is held. */
    private boolean end(String id, JobResult result, long nowNanos) {
        if (dropAwaiting(id, result, nowNanos)) {
            return true;
        }
        Optional<TrackedJob> job = jobs.find(id).filter(held -> !held.answered());
        job.ifPresent(held -> conclude(held, result, nowNanos));
        return job.isPresent();
    }

    /**
     * Expires jobs and releases runs that must have ended; call this periodically.
     *
     * @param nowNanos the current time, in ns
     */
    public void tick(long nowNanos) {
        stalls.ticked(nowNanos).ifPresent(stall -> recover(stall, nowNanos));
        releaseHeld(nowNanos);
        workers.updateRelativeSlowdowns(nowNanos);
        events.flush(nowNanos);
        for (WorkerView view : List.copyOf(workers.all())) {
            if (view.isSilent(nowNanos)) {
                releaseRuns(view, LossCause.AGENT_SILENT, nowNanos);
            }
        }
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                ExpiryRule.result(job, nowNanos)
                        .map(result -> ownership.notRunOnlyIfKnown(job.id(), result))
                        .ifPresent(result -> conclude(job, result, nowNanos));
            }
        }
        cancels.tick(nowNanos);
        ownership.releaseLost(nowNanos).forEach(job -> resume(job, "leases-ended", nowNanos));
        resumeConfirmed(nowNanos);
        waitingRequests.tooLong(nowNanos).forEach(id -> dropAwaiting(id, "waited too long", nowNanos));
        queuedJobCheck.tick(nowNanos);
        ownership.sendUpdates(nowNanos);
        for (WorkerView view : workers.all()) {
            if (view.acceptsStarts()) {
                placer.place(view.report().orElseThrow().service(), nowNanos);
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
        ownership.stallEnded(stall, nowNanos);
        if (!stall.isLong()) {
            return;
        }
        if (!stall.endedLinks()) {
            output.logEvent("entry-paused", stall.description() + " jobs=" + jobs.unanswered());
            return;
        }
        List<String> waiting = waitingRequests.all();
        output.logEvent(
                "entry-stalled", stall.description() + " jobs=" + jobs.unanswered() + " waiting=" + waiting.size());
        waiting.forEach(id -> dropAwaiting(id, "the entry stood still", nowNanos));
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                conclude(job, JobResult.givenUp("the entry stood still"), nowNanos);
            }
        }
    }

    /**
     * Starts the drain before a planned stop: admits only jobs that are over before it ends.
     *
     * @param endNanos when the drain will end, in ns
     */
    public void beginDrain(long endNanos) {
        drain.begin(endNanos);
    }

    /**
     * Ends the drain: answers all remaining requests, and from now on each new one at once.
     *
     * @param nowNanos the current time, in ns
     */
    public void finishDrain(long nowNanos) {
        drain.end();
        for (TrackedJob job : jobs.all()) {
            if (!job.answered()) {
                JobResult result = job.hasStarted() ? JobResult.givenUp("leaving") : Drain.notRun();
                conclude(job, ownership.notRunOnlyIfKnown(job.id(), result), nowNanos);
            }
        }
        waitingRequests.all().forEach(id -> dropAwaiting(id, "leaving", nowNanos));
        cancels.finish();
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
