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

/** Brings queued tasks and leases together. */
final class TaskScheduler {
    private static final long NANOS_PER_MICRO = 1_000;

    private final EntryContext context;
    private final Services services;
    private final RunTimes runTimes;
    private int queuedTasks;
    private long queuedBytes;
    private boolean draining;

    TaskScheduler(EntryContext context, Services services, RunTimes runTimes) {
        this.context = context;
        this.services = services;
        this.runTimes = runTimes;
    }

    /** The number of tasks in all queues. */
    int queuedTasks() {
        return queuedTasks;
    }

    /** The total size of the bodies of the queued tasks. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Queues the tasks of a new submission and starts those for which there are leases. */
    void submit(String serviceName, List<TaskRun> tasks, long nowNanos) {
        ServiceState service = services.obtain(serviceName);
        Set<FlowQueue> queues = new LinkedHashSet<>();
        boolean mayStart = false;
        for (TaskRun task : tasks) {
            mayStart |= isFirst(service, task);
            task.queued(nowNanos);
            queues.add(service.flows().addLast(task, nowNanos));
            entered(task);
        }
        for (FlowQueue queue : queues) {
            place(service, queue, mayStart, nowNanos);
        }
    }

    /** Puts a task back to the front of its queue after it was not started, or to be run again elsewhere. */
    void requeue(TaskRun task, long nowNanos) {
        ServiceState service = services.obtain(task.submission().service());
        FlowQueue queue = service.flows().addFirst(task, nowNanos);
        entered(task);
        place(service, queue, true, nowNanos);
    }

    /** Takes a queued task out of its queue. */
    void drop(TaskRun task, long nowNanos) {
        context.invariants().check(task.phase() == TaskPhase.QUEUED, "only queued tasks are dropped");
        ServiceState service = services.obtain(task.submission().service());
        FlowQueue queue = service.flows().drop(task, nowNanos);
        left(task);
        if (queue.isEmpty()) {
            service.demand().emptied(queue, nowNanos);
        }
    }

    /** Takes what an agent has for one service. */
    void capacity(AgentState agent, Capacity capacity, long nowNanos) {
        ServiceState service = services.obtain(capacity.service());
        AgentService part = service.join(agent);
        part.update(capacity);
        service.refresh();
        service.flows().backlog().forEach(queue -> service.demand().queued(queue, nowNanos));
    }

    /** Takes leases and uses them for queued tasks as far as there are any. */
    void granted(AgentState agent, Grant grant, long nowNanos) {
        ServiceState service = services.obtain(grant.service());
        AgentService part = service.join(agent);
        part.freeElsewhere(grant.otherIdleSlots());
        context.counters().add(EntryCounter.LEASES, grant.count());
        LeaseClass leaseClass = LeaseClass.of(grant);
        List<Long> unused = new ArrayList<>();
        for (int i = 0; i < grant.count(); i++) {
            long lease = grant.firstLease() + i;
            if (!use(service, part, leaseClass, lease, nowNanos)) {
                unused.add(lease);
            }
        }
        if (!unused.isEmpty()) {
            grant.flow().ifPresent(flow -> service.demand().unneeded(part, flow, nowNanos));
        }
        if (draining) {
            release(part, service, unused);
        } else {
            unused.forEach(lease -> service.leases().add(part, leaseClass, lease));
        }
    }

    /** Gives idle leases back to an agent that wants them. */
    void recalled(AgentState agent, Recall recall) {
        ServiceState service = services.obtain(recall.service());
        AgentService part = service.join(agent);
        List<Long> leases = service.leases().takeOldest(part, recall.count());
        context.counters().add(EntryCounter.RELEASES, leases.size());
        context.output().send(agent.incarnation(), new Release(service.name(), leases));
    }

    /** Uses idle leases for queued tasks, after something has changed that may have kept them apart. */
    void match(long nowNanos) {
        for (ServiceState service : services.all()) {
            if (service.leases().size() > 0) {
                match(service, nowNanos);
            }
        }
    }

    /** Sends demands that are due, and uses idle leases of flows that were paused. */
    void tick(long nowNanos) {
        match(nowNanos);
        services.all().forEach(service -> service.demand().tick(nowNanos));
    }

    /** Puts new weights in force. */
    void configChanged() {
        services.all().forEach(service -> service.flows().configChanged());
        runTimes.retain(context.config().all(KindConfig.class).stream()
                .map(KindConfig::name)
                .toList());
    }

    /** Forgets the leases of an agent whose link is lost. */
    void unlinked(AgentState agent) {
        agent.services().forEach((name, part) -> services.obtain(name).leave(part));
    }

    /** Takes account of an agent that takes new work from now on or no longer does. */
    void agentChanged(AgentState agent) {
        agent.services().forEach((name, part) -> services.obtain(name).changed(part));
    }

    /** Gives all idle leases back and keeps none from now on. */
    void drain() {
        draining = true;
        for (ServiceState service : services.all()) {
            for (AgentService part : service.agents()) {
                release(part, service, service.leases().takeOldest(part, Integer.MAX_VALUE));
            }
        }
    }

    private static boolean isFirst(ServiceState service, TaskRun task) {
        int version = task.id().submission().rosterVersion();
        return service.flows()
                .find(task.flow())
                .filter(queue -> queue.hasVersion(version))
                .isEmpty();
    }

    private void place(ServiceState service, FlowQueue queue, boolean mayStart, long nowNanos) {
        if (mayStart) {
            startQueued(service, queue, nowNanos);
        }
        if (!queue.isEmpty()) {
            service.demand().queued(queue, nowNanos);
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
            for (FlowQueue queue : service.flows().backlog()) {
                Optional<Match> match = service.leases().take(queue, nowNanos);
                if (match.isPresent()) {
                    start(service, queue, match.get(), nowNanos);
                    started = true;
                    break;
                }
            }
        }
    }

    private boolean use(ServiceState service, AgentService part, LeaseClass leaseClass, long lease, long nowNanos) {
        if (leaseClass.flow().isPresent()) {
            Optional<FlowQueue> meant = service.flows().find(leaseClass.flow().get());
            return meant.isPresent() && use(service, part, meant.get(), leaseClass, lease, nowNanos);
        }
        for (FlowQueue queue : service.flows().backlog()) {
            if (use(service, part, queue, leaseClass, lease, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private boolean use(
            ServiceState service,
            AgentService part,
            FlowQueue queue,
            LeaseClass leaseClass,
            long lease,
            long nowNanos) {
        if (queue.isEmpty() || !leaseClass.scope().admits(queue.kind())) {
            return false;
        }
        Optional<TaskRun> task = LeasePool.firstFor(part, queue, leaseClass.isMeantFor(queue.flow()), nowNanos);
        task.ifPresent(first -> start(service, queue, new Match(part, lease, first), nowNanos));
        return task.isPresent();
    }

    private void start(ServiceState service, FlowQueue queue, Match match, long nowNanos) {
        TaskRun task = match.task();
        AgentService part = match.agent();
        AgentState agent = part.agent();
        checkStart(task, agent);
        service.flows().start(queue, task, nowNanos);
        left(task);
        task.sent(agent, agent.nextSequence(), nowNanos);
        agent.sent(task);
        int asked = service.demand().started(part, queue, nowNanos);
        if (queue.isEmpty()) {
            service.demand().emptied(queue, nowNanos);
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
                                asked,
                                queue.oldestWaitMicros(nowNanos)));
    }

    private void checkStart(TaskRun task, AgentState agent) {
        context.invariants()
                .check(
                        !task.mayHaveStarted() || task.firstResult().isPresent(),
                        "a task that may have started is started again only to retry it");
        context.invariants().check(task.mayStartAt(agent), "no task is started twice at one agent");
        context.invariants()
                .check(
                        agent.joinedVersion() <= task.id().submission().rosterVersion(),
                        "tasks go only to agents of the roster version that their id names");
    }

    private void release(AgentService part, ServiceState service, List<Long> leases) {
        if (leases.isEmpty()) {
            return;
        }
        context.counters().add(EntryCounter.RELEASES, leases.size());
        context.output().send(part.agent().incarnation(), new Release(service.name(), leases));
    }

    private void entered(TaskRun task) {
        queuedTasks++;
        queuedBytes += task.spec().body().size();
    }

    private void left(TaskRun task) {
        queuedTasks--;
        queuedBytes -= task.spec().body().size();
    }
}
