package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/**
 * The decisions of one entry about the jobs that its callers submit.
 *
 * <p>Used by one thread. Each method takes the present time of a steady clock.
 */
public final class Dispatcher {
    /** How far the number of a run is raised when the worker has seen a higher one; more than a task's attempts. */
    private static final int OUTDATED_SKIP = 10;

    /** When a caller may come back whose job was given up in the queue, in ms; by then the flood has met admission. */
    private static final int RETRY_MILLIS = 1_000;

    private final DispatchOutput output;
    private final DurationModel durations = new DurationModel();
    private final WorkerViews workers = new WorkerViews();
    private final HeldJobs held = new HeldJobs();
    private final JobBook jobs = new JobBook();
    private final JobLatencies latencies = new JobLatencies();
    private final Map<String, Resources> largest = new HashMap<>();
    private OptionalLong leavingByNanos = OptionalLong.empty();

    /**
     * Creates a dispatcher without jobs and workers.
     *
     * @param output where the decisions go to
     */
    public Dispatcher(DispatchOutput output) {
        this.output = output;
    }

    /**
     * Takes a job of a caller; the answer comes by {@link DispatchOutput#answer}, at once if the job is refused.
     *
     * @param request the job
     * @param nowNanos the present time, in ns
     */
    public void submit(JobRequest request, long nowNanos) {
        if (jobs.find(request.id()).isPresent()) {
            resubmittedHere(request);
            return;
        }
        Optional<Incarnation> holder = held.holder(request.id());
        if (holder.isPresent()) {
            output.logEvent("job-elsewhere", "job=" + request.id() + " entry=" + holder.get());
            held.await(request);
            output.send(holder.get(), new YieldJob(request.id()));
            return;
        }
        admit(request, nowNanos);
    }

    /** Lets a job go on that its caller has sent again, or waits for the runs of an earlier submission to end. */
    private void resubmittedHere(JobRequest request) {
        WorkJob job = jobs.find(request.id()).orElseThrow();
        output.logEvent("job-again", "job=" + request.id() + " answered=" + job.answered());
        if (job.answered()) {
            held.await(request);
        }
    }

    private void admit(JobRequest submitted, long nowNanos) {
        JobRequest request = leavingByNanos.isPresent() ? submitted.until(leavingByNanos.getAsLong()) : submitted;
        WorkJob job = new WorkJob(request, durations.chainMillis(request), nowNanos);
        String service = request.queue().service();
        if (largest.containsKey(service) && !canFit(request, service)) {
            output.logEvent("job-hopeless", "job=" + request.id());
            output.answer(request.id(), JobResult.failed("no worker is large enough"));
            return;
        }
        jobs.arrived(service, request.queue().name(), nowNanos);
        QueueShares shares = jobs.shares(service, nowNanos);
        double cores = workers.cores(service);
        double share = shares.share(request.queue().name());
        double own = jobs.queuedWork(service);
        long elsewhere = workers.backlogElsewhere(service);
        // Callers are spread over the entries, so that the others have about as much of the same queue ahead.
        int entries = 1 + held.peers().size();
        double ahead = jobs.workAhead(job, nowNanos) * entries / share;
        Optional<Integer> refused = AdmissionRule.retryAfterMillis(job, ahead, own + elsewhere, cores, nowNanos);
        String inputs = "job=" + job.id() + " queue=" + request.queue().name() + " tasks="
                + job.tasks().size() + " chain=" + (long) job.chainMillis() + " ahead=" + (long) ahead + " share="
                + (long) (100 * share) + " elsewhere=" + elsewhere + " cores=" + (long) cores;
        if (refused.isPresent()) {
            output.logEvent("job-refused", inputs);
            output.answer(request.id(), JobResult.notRun("overloaded", refused.get()));
            return;
        }
        output.logEvent("job-admitted", inputs);
        job.trail().add("admitted " + inputs, nowNanos);
        jobs.add(job);
        held.taken(job.id());
        place(service, nowNanos);
    }

    private boolean canFit(JobRequest request, String service) {
        Resources capacity = largest.get(service);
        return request.steps().stream().allMatch(step -> step.need().fits(capacity));
    }

    /** Orders what fits into the room that is believed to be free, and asks for room for the rest. */
    private void place(String service, long nowNanos) {
        List<WorkJob> queued = jobs.queue(service, nowNanos);
        List<WorkerView> views = workers.of(service);
        if (queued.isEmpty() && views.stream().allMatch(view -> view.demanded().isEmpty())) {
            return;
        }
        Map<WorkerView, List<WorkTask>> chosen = new LinkedHashMap<>();
        Map<WorkerView, Resources> room = new HashMap<>();
        views.forEach(view -> room.put(view, view.free()));
        QueueShares shares = jobs.shares(service, nowNanos);
        for (WorkJob job : queued) {
            for (WorkTask task : job.tasks()) {
                if (task.state() == TaskState.QUEUED) {
                    place(task, views, room, shares, chosen, nowNanos);
                }
            }
        }
        ResourceDemand demand = demandOf(service, nowNanos);
        chosen.forEach((view, tasks) -> order(view, 0, tasks, demand, nowNanos));
        tellDemand(views, demand, nowNanos);
    }

    private void place(
            WorkTask task,
            Collection<WorkerView> views,
            Map<WorkerView, Resources> room,
            QueueShares shares,
            Map<WorkerView, List<WorkTask>> chosen,
            long nowNanos) {
        Placement.choose(task, views, room, shares, nowNanos).ifPresent(view -> {
            room.put(view, room.get(view).minus(task.step().need()));
            chosen.computeIfAbsent(view, none -> new ArrayList<>()).add(task);
            take(view, task);
        });
    }

    private void take(WorkerView view, WorkTask task) {
        task.order(view.agent());
        task.job().runOrdered();
        view.ordered().put(task.name(), task);
    }

    private void order(WorkerView view, long offer, List<WorkTask> tasks, ResourceDemand demand, long nowNanos) {
        Map<WorkJob, List<RunRequest>> items = new LinkedHashMap<>();
        Resources need = Resources.NONE;
        for (WorkTask task : tasks) {
            need = need.plus(task.step().need());
            int expectedMillis = (int) durations.expectedMillis(
                    task.job().request().queue().name(), task.step().estimateMillis());
            RunRequest item = new RunRequest(task.ref(), task.step().need(), expectedMillis, task.checkpoint());
            task.noteOrder(view, nowNanos);
            items.computeIfAbsent(task.job(), none -> new ArrayList<>()).add(item);
        }
        List<JobRuns> runs = new ArrayList<>();
        items.forEach((job, list) -> runs.add(new JobRuns(job.request().spec(), list)));
        if (!tasks.isEmpty()) {
            output.logEvent(
                    "runs-ordered",
                    "agent=" + view.agent() + " offer=" + offer + " free="
                            + view.free().milliCores() + " tasks="
                            + tasks.stream()
                                    .map(task -> task.name() + "#" + task.ref().run())
                                    .toList());
        }
        long stampNanos = view.report().orElseThrow().timestampNanos();
        output.send(view.agent(), new RunOrder(view.nextOrder(need), stampNanos, offer, runs, demand));
        view.demanded(demand, nowNanos);
        view.renewed(nowNanos);
    }

    private ResourceDemand demandOf(String service, long nowNanos) {
        List<WorkJob> queued = jobs.queue(service, nowNanos);
        if (queued.isEmpty()) {
            return ResourceDemand.NONE;
        }
        WorkJob first = queued.get(0);
        QueueShares shares = jobs.shares(service, nowNanos);
        Resources capacity = largest.getOrDefault(service, Resources.NONE);
        return new ResourceDemand(
                queued.size(),
                DemandRule.orderMicros(first, shares, nowNanos),
                DemandRule.smallestNeed(queued, shares, capacity),
                (long) jobs.queuedWork(service));
    }

    private void tellDemand(List<WorkerView> views, ResourceDemand demand, long nowNanos) {
        for (WorkerView view : views) {
            if (view.open() && DemandRule.tell(view, demand, nowNanos)) {
                output.send(view.agent(), demand);
                view.demanded(demand, nowNanos);
            }
        }
    }

    /**
     * Takes a new link to an agent.
     *
     * @param agent the agent
     * @param nowNanos the present time, in ns
     */
    public void agentLinked(Incarnation agent, long nowNanos) {
        workers.link(agent, nowNanos);
    }

    /**
     * Takes a new link to another entry.
     *
     * @param entry the entry
     */
    public void entryLinked(Incarnation entry) {
        held.linked(entry);
        output.send(entry, new JobOwnershipUpdate(jobs.ids(), List.of()));
    }

    /**
     * Takes the loss of a link.
     *
     * @param peer the process at the other end
     * @param nowNanos the present time, in ns
     */
    public void unlinked(Incarnation peer, long nowNanos) {
        workers.find(peer).ifPresent(WorkerView::unlink);
        held.unlinked(peer).forEach(request -> admit(request, nowNanos));
    }

    /**
     * Takes a message.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the present time, in ns
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        if (message instanceof JobOwnershipUpdate news) {
            held.told(from, news).forEach(request -> admit(request, nowNanos));
        } else if (message instanceof YieldJob wish) {
            giveAway(from, wish.job(), nowNanos);
        }
        Optional<WorkerView> view = workers.find(from);
        if (view.isEmpty()) {
            return;
        }
        if (message instanceof WorkerReport report) {
            reported(view.get(), report, nowNanos);
        } else if (message instanceof ResourceOffer offer) {
            offered(view.get(), offer, nowNanos);
        } else if (message instanceof RunsEnded ended) {
            ended.results().forEach(end -> ended(view.get(), end, nowNanos));
            view.get().report().ifPresent(report -> place(report.service(), nowNanos));
        } else if (message instanceof ActiveRuns runs) {
            resynchronize(view.get(), runs.runs(), nowNanos);
        }
    }

    private void giveAway(Incarnation from, String id, long nowNanos) {
        Optional<WorkJob> job = jobs.find(id);
        output.logEvent("job-yielded", "job=" + id + " entry=" + from + " held=" + job.isPresent());
        if (job.isEmpty()) {
            output.send(from, new JobOwnershipUpdate(List.of(), List.of(id)));
            return;
        }
        conclude(job.get(), JobResult.givenUp("sent again to another entry"), nowNanos);
    }

    private void reported(WorkerView view, WorkerReport report, long nowNanos) {
        boolean opened = report.acceptsStarts() && !view.open();
        view.reported(report, nowNanos);
        largest.merge(report.service(), report.capacity(), Resources::max);
        if (opened) {
            // A worker opens only when no run of the agent's earlier life is left, and none can start any more.
            workers.earlierLives(view).forEach(earlier -> forget(earlier, nowNanos));
        }
        if (view.renewalDue(nowNanos)) {
            view.renewed(nowNanos);
            output.send(view.agent(), new LeaseRenewal(report.timestampNanos()));
        }
        place(report.service(), nowNanos);
    }

    private void offered(WorkerView view, ResourceOffer offer, long nowNanos) {
        if (view.report().isEmpty()) {
            return;
        }
        Resources room = offer.resources();
        Resources capacity = view.report().get().capacity();
        String service = view.report().get().service();
        QueueShares shares = jobs.shares(service, nowNanos);
        List<WorkTask> chosen = new ArrayList<>();
        for (WorkJob job : jobs.queue(service, nowNanos)) {
            for (WorkTask task : job.tasks()) {
                boolean queued = task.state() == TaskState.QUEUED;
                boolean fits = queued && shares.withHeadroom(task, capacity).fits(room);
                if (fits && Placement.suits(task, view, nowNanos)) {
                    room = room.minus(task.step().need());
                    chosen.add(task);
                    take(view, task);
                }
            }
        }
        order(view, offer.number(), chosen, demandOf(service, nowNanos), nowNanos);
    }

    private void ended(WorkerView view, RunResult end, long nowNanos) {
        WorkTask task = view.ordered().get(end.ref().task());
        if (task == null || !task.ref().equals(end.ref())) {
            return;
        }
        view.ordered().remove(task.name());
        task.saved(end.checkpoint());
        task.note(end.outcome() + " after " + end.elapsedMillis() + "ms", nowNanos);
        if (end.outcome() != RunOutcome.DONE) {
            output.logEvent(
                    "run-ended",
                    "task=" + task.name() + " run=" + end.ref().run() + " how=" + end.outcome() + " millis="
                            + end.elapsedMillis() + " agent=" + view.agent());
        }
        if (!end.outcome().mayHaveRun()) {
            task.job().runRefused();
        }
        if (task.job().answered()) {
            task.end();
            forgetIfOver(task.job(), nowNanos);
            return;
        }
        switch (end.outcome()) {
            case DONE -> done(view, task, end, nowNanos);
            case FAILED -> failed(task, nowNanos);
            case OUTDATED -> task.skipRuns(OUTDATED_SKIP);
            default -> {
                // Nothing is learnt about the task.
            }
        }
        if (task.state() == TaskState.ORDERED) {
            if (end.outcome().mayHaveRun() && workers.othersOpen(view)) {
                task.avoid();
            }
            task.queue();
        }
    }

    private void done(WorkerView view, WorkTask task, RunResult end, long nowNanos) {
        String queue = task.job().request().queue().name();
        int estimate = task.step().estimateMillis();
        durations.observe(queue, estimate, end.elapsedMillis() / view.slowness());
        task.end();
        task.job().release();
        if (task.job().done()) {
            conclude(task.job(), JobResult.completed(), nowNanos);
        }
    }

    private void failed(WorkTask task, long nowNanos) {
        task.failed();
        WorkQueue queue = task.job().request().queue();
        if (task.failures() >= queue.maxAttempts()) {
            task.end();
            conclude(task.job(), JobResult.failed("a task failed " + task.failures() + " times"), nowNanos);
        }
    }

    /**
     * Queues the tasks again whose runs an agent does not have, and stops runs that were given up meanwhile, for instance
     * because the agent's VM was suspended; sent by the agent first on a new link.
     */
    private void resynchronize(WorkerView view, List<RunRef> present, long nowNanos) {
        List<RunRef> outdated = present.stream().filter(ref -> !view.holds(ref)).toList();
        if (!outdated.isEmpty()) {
            output.send(view.agent(), new StopRuns(outdated));
        }
        for (WorkTask task : List.copyOf(view.ordered().values())) {
            if (!present.contains(task.ref())) {
                lost(view, task, nowNanos);
            }
        }
    }

    private void lost(WorkerView view, WorkTask task, long nowNanos) {
        view.ordered().remove(task.name());
        task.note("lost at " + view.agent().process(), nowNanos);
        output.logEvent("run-lost", "task=" + task.name() + " run=" + task.ref().run() + " agent=" + view.agent());
        if (task.job().answered()) {
            task.end();
            forgetIfOver(task.job(), nowNanos);
        } else {
            task.queue();
        }
    }

    /** Forgets an agent none of whose runs is left. */
    private void forget(WorkerView view, long nowNanos) {
        List<WorkTask> tasks = List.copyOf(view.ordered().values());
        if (!tasks.isEmpty() && view.linked()) {
            // An agent whose VM was suspended finds this before anything that would renew the lease of these runs.
            output.send(
                    view.agent(), new StopRuns(tasks.stream().map(WorkTask::ref).toList()));
        }
        tasks.forEach(task -> lost(view, task, nowNanos));
        if (!view.linked()) {
            workers.remove(view);
        }
    }

    /** Answers a job and stops what is left of it. */
    private void conclude(WorkJob job, JobResult verdict, long nowNanos) {
        job.answer();
        latencies.answered(verdict.kind(), TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivalNanos()));
        output.logEvent(
                "job-answered",
                "job=" + job.id() + " kind=" + verdict.kind() + " reason=\"" + verdict.reason() + "\" millis="
                        + TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivalNanos()));
        if (!job.isWell(verdict, nowNanos)) {
            job.trail().add(verdict.kind() + " " + verdict.reason(), nowNanos);
            output.logEvent("job-trail", "job=" + job.id() + " trail=\"" + job.trail() + "\"");
        }
        output.answer(job.id(), verdict);
        Map<Incarnation, List<RunRef>> stops = new LinkedHashMap<>();
        for (WorkTask task : job.tasks()) {
            if (task.state() == TaskState.ORDERED) {
                stops.computeIfAbsent(task.agent().orElseThrow(), none -> new ArrayList<>())
                        .add(task.ref());
            } else {
                task.end();
            }
        }
        stops.forEach((agent, runs) -> output.send(agent, new StopRuns(runs)));
        forgetIfOver(job, nowNanos);
    }

    private void forgetIfOver(WorkJob job, long nowNanos) {
        if (job.done() && jobs.remove(job)) {
            held.ended(job.id());
            held.awaited(job.id()).ifPresent(request -> admit(request, nowNanos));
        }
    }

    /**
     * Gives up a job whose caller has gone or has cancelled it.
     *
     * @param id the job's id
     * @param nowNanos the present time, in ns
     * @return true if the job was here
     */
    public boolean cancel(String id, long nowNanos) {
        Optional<WorkJob> job = jobs.find(id);
        if (job.isEmpty() || job.get().answered()) {
            return false;
        }
        conclude(job.get(), JobResult.givenUp("cancelled"), nowNanos);
        return true;
    }

    /**
     * Gives up jobs that are of no more use, and runs that have certainly ended.
     *
     * @param nowNanos the present time, in ns
     */
    public void tick(long nowNanos) {
        workers.comparePaces();
        for (WorkerView view : List.copyOf(workers.all())) {
            if (nowNanos - view.reportNanos() > DispatchTimes.SURELY_ENDED_NANOS) {
                forget(view, nowNanos);
            }
        }
        for (WorkJob job : jobs.all()) {
            if (!job.answered()) {
                expire(job, nowNanos);
            }
        }
        held.expired(nowNanos)
                .forEach(request -> output.answer(request.id(), JobResult.givenUp("held by another entry")));
        held.news(nowNanos).ifPresent(news -> held.peers().forEach(peer -> output.send(peer, news)));
        for (WorkerView view : workers.all()) {
            if (view.open()) {
                place(view.report().orElseThrow().service(), nowNanos);
                return;
            }
        }
    }

    private void expire(WorkJob job, long nowNanos) {
        boolean late = nowNanos - job.request().deadlineNanos() >= 0;
        boolean hopeless = job.hasQueued() && !JobOrder.useful(job, nowNanos);
        if (late || hopeless) {
            JobResult verdict =
                    job.begun() ? JobResult.givenUp("too late") : JobResult.notRun("too late", RETRY_MILLIS);
            conclude(job, verdict, nowNanos);
        }
    }

    /**
     * Takes only jobs that can be done before a planned stop.
     *
     * @param byNanos when the last answer has to be given, in ns
     */
    public void beginDrain(long byNanos) {
        leavingByNanos = OptionalLong.of(byNanos);
    }

    /**
     * Answers all jobs that are left and refuses all others, at the end of a planned stop.
     *
     * @param nowNanos the present time, in ns
     */
    public void finishDrain(long nowNanos) {
        beginDrain(nowNanos);
        for (WorkJob job : jobs.all()) {
            if (!job.answered()) {
                boolean ran = job.begun();
                conclude(job, ran ? JobResult.givenUp("leaving") : JobResult.notRun("leaving", 0), nowNanos);
            }
        }
    }

    /**
     * Tells whether a job is held and not answered.
     *
     * @param id the job's id
     * @return true if it is queued or runs
     */
    public boolean holds(String id) {
        return jobs.find(id).filter(job -> !job.answered()).isPresent();
    }

    /**
     * Counts the jobs of a queue none of whose tasks has been started.
     *
     * @param queue the queue's name
     * @return the number of jobs
     */
    public long pending(String queue) {
        return jobs.pending(queue);
    }

    /**
     * Counts the jobs that have not been answered.
     *
     * @return the number of jobs
     */
    public long unanswered() {
        return jobs.unanswered();
    }

    /**
     * Returns how long answered jobs took; any thread may call it. Jobs that were refused when they arrived are not counted.
     *
     * @return the counts
     */
    public JobLatencies latencies() {
        return latencies;
    }

    /**
     * Tells whether any worker takes starts.
     *
     * @return true if one does
     */
    public boolean hasWorkers() {
        return workers.all().stream().anyMatch(WorkerView::open);
    }
}
