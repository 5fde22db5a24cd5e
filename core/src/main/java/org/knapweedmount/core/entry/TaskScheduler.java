package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.core.entry.LeasePool.LeaseClass;
import org.knapweedmount.core.entry.LeasePool.Match;

/** Matches queued tasks with leases and starts them. */
final class TaskScheduler {
    private static final long NANOS_PER_MICRO = 1_000;

    private final EntryContext context;
    private final ServiceRegistry services;
    private final RunTimes runTimes;
    private int queuedTasks;
    private long queuedBytes;
    private boolean draining;

    TaskScheduler(EntryContext context, ServiceRegistry services, RunTimes runTimes) {
        this.context = context;
        this.services = services;
        this.runTimes = runTimes;
    }

    /** The number of tasks in all queues. */
    int queuedTasks() {
        return queuedTasks;
    }

    /** The total size of the bodies of the queued tasks, in bytes. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Queues the tasks of a new submission and starts those for which there are leases. */
    void submit(String serviceName, List<TaskRun> tasks, long nowNanos) {
        ServiceState service = services.findOrCreate(serviceName);
        Set<FlowQueue> queues = new LinkedHashSet<>();
        boolean mayStart = false;
        for (TaskRun task : tasks) {
            mayStart |= isFirstOfVersion(service, task);
            task.queued(nowNanos);
            queues.add(service.queues().addLast(task, nowNanos));
            taskQueued(task);
        }
        for (FlowQueue queue : queues) {
            startOrRequestLeases(service, queue, mayStart, nowNanos);
        }
    }

    /** Returns a task that was not started or is to be retried to the front of its queue. */
    void requeue(TaskRun task, long nowNanos) {
        ServiceState service = services.findOrCreate(task.submission().service());
        FlowQueue queue = service.queues().addFirst(task, nowNanos);
        taskQueued(task);
        startOrRequestLeases(service, queue, true, nowNanos);
    }

    /** Removes a queued task that is not to be started from its queue. */
    void remove(TaskRun task, long nowNanos) {
        context.invariants().check(task.phase() == TaskPhase.QUEUED, "only queued tasks are removed from a queue");
        ServiceState service = services.findOrCreate(task.submission().service());
        FlowQueue queue = service.queues().remove(task, nowNanos);
        taskDequeued(task);
        if (queue.isEmpty()) {
            service.demand().queueEmptied(queue, nowNanos);
        }
    }

    /** Updates the capacity of an agent for one service. */
    void updateCapacity(AgentState agent, Capacity capacity, long nowNanos) {
        ServiceState service = services.findOrCreate(capacity.service());
        AgentService agentService = service.findOrCreateAgent(agent);
        agentService.update(capacity);
        service.recomputeTotals();
        service.queues().backlog().forEach(queue -> service.demand().tasksQueued(queue, nowNanos));
    }

    /** Uses new leases for queued tasks, and keeps the rest unless the entry is draining. */
    void granted(AgentState agent, Grant grant, long nowNanos) {
        ServiceState service = services.findOrCreate(grant.service());
        AgentService agentService = service.findOrCreateAgent(agent);
        agentService.otherIdleSlots(grant.otherIdleSlots());
        context.counters().add(EntryCounter.LEASES, grant.count());
        LeaseClass leaseClass = LeaseClass.of(grant);
        List<Long> unused = new ArrayList<>();
        for (int i = 0; i < grant.count(); i++) {
            long lease = grant.firstLease() + i;
            if (!useLease(service, agentService, leaseClass, lease, nowNanos)) {
                unused.add(lease);
            }
        }
        if (!unused.isEmpty()) {
            grant.flow().ifPresent(flow -> service.demand().leaseUnused(agentService, flow, nowNanos));
        }
        if (draining) {
            release(agentService, service, unused);
        } else {
            unused.forEach(lease -> service.leases().add(agentService, leaseClass, lease));
        }
    }

    /** Releases idle leases that an agent has recalled. */
    void recalled(AgentState agent, Recall recall) {
        ServiceState service = services.findOrCreate(recall.service());
        AgentService agentService = service.findOrCreateAgent(agent);
        List<Long> leases = service.leases().takeOldest(agentService, recall.count());
        context.counters().add(EntryCounter.RELEASES, leases.size());
        context.output().send(agent.incarnation(), new Release(service.name(), leases));
    }

    /** Matches idle leases with queued tasks, after a change that may permit further starts. */
    void match(long nowNanos) {
        for (ServiceState service : services.all()) {
            if (service.leases().size() > 0) {
                match(service, nowNanos);
            }
        }
    }

    /** Sends the demands that are due, and uses idle leases for flows that are no longer paused. */
    void tick(long nowNanos) {
        match(nowNanos);
        services.all().forEach(service -> service.demand().tick(nowNanos));
    }

    /** Applies new weights. */
    void configChanged() {
        services.all().forEach(service -> service.queues().configChanged());
        runTimes.retain(context.config().all(KindConfig.class).stream()
                .map(KindConfig::name)
                .toList());
    }

    /** Discards the leases of an agent whose link is lost. */
    void unlinked(AgentState agent) {
        agent.services()
                .forEach((name, agentService) -> services.findOrCreate(name).removeAgent(agentService));
    }

    /** Handles an agent that has begun or ceased to accept new work. */
    void agentChanged(AgentState agent) {
        agent.services()
                .forEach((name, agentService) -> services.findOrCreate(name).agentChanged(agentService));
    }

    /** Releases all idle leases and keeps none from now on. */
    void drain() {
        draining = true;
        for (ServiceState service : services.all()) {
            for (AgentService agentService : service.agents()) {
                release(agentService, service, service.leases().takeOldest(agentService, Integer.MAX_VALUE));
            }
        }
    }

    private static boolean isFirstOfVersion(ServiceState service, TaskRun task) {
        int version = task.id().submission().rosterVersion();
        return service.queues()
                .find(task.flow())
                .filter(queue -> queue.hasVersion(version))
                .isEmpty();
    }

    private void startOrRequestLeases(ServiceState service, FlowQueue queue, boolean mayStart, long nowNanos) {
        if (mayStart) {
            startQueued(service, queue, nowNanos);
        }
        if (!queue.isEmpty()) {
            service.demand().tasksQueued(queue, nowNanos);
        }
    }

    private void startQueued(ServiceState service, FlowQueue queue, long nowNanos) {
        while (!queue.isEmpty()) {
            Optional<Match> match = service.leases().take(queue, nowNanos);
            if (match.isEmpty()) {
                return;
            }
            start(service, queue, match.get(), nowNanos);
        }
    }

    private void match(ServiceState service, long nowNanos) {
        boolean started = true;
        while (started) {
            started = false;
            for (FlowQueue queue : service.queues().backlog()) {
                Optional<Match> match = service.leases().take(queue, nowNanos);
                if (match.isPresent()) {
                    start(service, queue, match.get(), nowNanos);
                    started = true;
                    break;
                }
            }
        }
    }

    private boolean useLease(
            ServiceState service, AgentService agentService, LeaseClass leaseClass, long lease, long nowNanos) {
        if (leaseClass.flow().isPresent()) {
            Optional<FlowQueue> reservedQueue =
                    service.queues().find(leaseClass.flow().get());
            return reservedQueue.isPresent()
                    && useLease(service, agentService, reservedQueue.get(), leaseClass, lease, nowNanos);
        }
        for (FlowQueue queue : service.queues().backlog()) {
            if (useLease(service, agentService, queue, leaseClass, lease, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private boolean useLease(
            ServiceState service,
            AgentService agentService,
            FlowQueue queue,
            LeaseClass leaseClass,
            long lease,
            long nowNanos) {
        if (queue.isEmpty() || !leaseClass.scope().admits(queue.kind())) {
            return false;
        }
        Optional<TaskRun> task =
                LeasePool.firstFor(agentService, queue, leaseClass.isReservedFor(queue.flow()), nowNanos);
        task.ifPresent(first -> start(service, queue, new Match(agentService, lease, first), nowNanos));
        return task.isPresent();
    }

    private void start(ServiceState service, FlowQueue queue, Match match, long nowNanos) {
        TaskRun task = match.task();
        AgentService agentService = match.agentService();
        AgentState agent = agentService.agent();
        checkStart(task, agent);
        service.queues().removeForStart(queue, task, nowNanos);
        taskDequeued(task);
        task.sent(agent, agent.nextSequence(), nowNanos);
        agent.taskSent(task);
        int requestedLeases = service.demand().taskStarted(agentService, queue, nowNanos);
        if (queue.isEmpty()) {
            service.demand().queueEmptied(queue, nowNanos);
        }
        context.counters().increment(EntryCounter.STARTS);
        context.counters().add(EntryCounter.QUEUED_MICROS, (nowNanos - task.queuedNanos()) / NANOS_PER_MICRO);
        context.output()
                .send(
                        agent.incarnation(),
                        new Start(
                                task.sequence(),
                                match.lease(),
                                task.id(),
                                service.name(),
                                task.flow().team(),
                                task.spec(),
                                requestedLeases,
                                queue.oldestWaitMicros(nowNanos)));
    }

    private void checkStart(TaskRun task, AgentState agent) {
        context.invariants()
                .check(
                        !task.mayHaveStarted() || task.firstResult().isPresent(),
                        "a task that may have started is started again only for a retry");
        context.invariants().check(task.maySendTo(agent), "no task is started twice at the same agent");
        context.invariants()
                .check(
                        agent.firstRosterVersion() <= task.id().submission().rosterVersion(),
                        "tasks are sent only to agents in the roster version of their ID");
    }

    private void release(AgentService agentService, ServiceState service, List<Long> leases) {
        if (leases.isEmpty()) {
            return;
        }
        context.counters().add(EntryCounter.RELEASES, leases.size());
        context.output().send(agentService.agent().incarnation(), new Release(service.name(), leases));
    }

    private void taskQueued(TaskRun task) {
        queuedTasks++;
        queuedBytes += task.spec().body().size();
    }

    private void taskDequeued(TaskRun task) {
        queuedTasks--;
        queuedBytes -= task.spec().body().size();
    }
}
