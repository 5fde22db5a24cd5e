package org.knapweedmount.core.agent;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * Decision logic of one agent: grants leases on free slots, admits or refuses starts, and keeps records of the tasks
 * that it started.
 *
 * <p>Not thread-safe; confined to one thread. All times are readings of a monotonic clock, in nanoseconds.
 */
public final class AgentCore {
    private static final String DRAIN_REASON = "draining";

    private final AgentContext context;
    private final PeerAddress self;
    private final ConfigState config;
    private final EntryTable entries;
    private final EndpointTable endpoints;
    private final ServicePools pools;
    private final StartSequenceFilter startFilter;
    private final SealHandler sealHandler;
    private final StartRecords records;
    private final TaskStarter starter;
    private boolean stopping;
    private boolean draining;

    /**
     * Creates an agent without endpoints or links.
     *
     * @param limits the limits on memory use and timeouts
     * @param self the agent's own address
     * @param config the current configuration, updated by the caller before {@link #configChanged}
     * @param output sends messages, and starts and stops tasks
     * @param counters the counters to update
     * @param invariants the checker of internal invariants
     */
    public AgentCore(
            AgentLimits limits,
            PeerAddress self,
            ConfigState config,
            AgentOutput output,
            Counters<AgentCounter> counters,
            Invariants invariants) {
        this.context = new AgentContext(limits, output, counters, invariants);
        this.self = self;
        this.config = config;
        this.entries = new EntryTable(self.incarnation());
        this.endpoints = new EndpointTable(invariants);
        this.pools = new ServicePools(context, endpoints, entries, config);
        this.startFilter = new StartSequenceFilter(entries::linked);
        Seals seals = new Seals(limits.maxSeals(), entries::linked, counters);
        this.records = new StartRecords(limits, counters, invariants);
        this.sealHandler = new SealHandler(context, seals, records);
        this.starter = new TaskStarter(context, startFilter, seals, records);
        this.draining = drainedByConfig();
        pools.closed(draining);
    }

    private boolean drainedByConfig() {
        return config.drained(self.incarnation().process(), self.dataCentre());
    }

    /**
     * Handles the announcement of an endpoint, which is either new or a heartbeat.
     *
     * @param endpoint the announcement
     * @param nowNanos the current time, in ns
     */
    public void endpointAnnounced(EndpointAnnouncement endpoint, long nowNanos) {
        Optional<Endpoint> replaced = endpoints.announced(endpoint, nowNanos);
        replaced.ifPresent(previous -> pools.updateCapacity(previous.service(), nowNanos));
        pools.updateCapacity(endpoint.service(), nowNanos);
    }

    /**
     * Stops sending tasks to an endpoint that is shutting down; its running tasks continue.
     *
     * @param id the endpoint's ID
     * @param nowNanos the current time, in ns
     */
    public void endpointLeft(String id, long nowNanos) {
        endpoints.left(id).ifPresent(endpoint -> pools.updateCapacity(endpoint.service(), nowNanos));
    }

    /**
     * Handles a worker's report of the measured resource usage of running tasks of one kind.
     *
     * @param id the endpoint's ID
     * @param kind the kind of the tasks
     * @param usedPerTask the peak usage of one task
     * @param nowNanos the current time, in ns
     */
    public void usageReported(String id, String kind, Resources usedPerTask, long nowNanos) {
        Optional<Endpoint> endpoint = endpoints.find(id);
        if (endpoint.isEmpty()) {
            return;
        }
        endpoint.get().usageReported(kind, usedPerTask);
        starter.updateCharges(endpoint.get());
        pools.distribute(endpoint.get().service(), nowNanos);
    }

    /**
     * Handles a new link to an entry, after the handshake is complete.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void linked(PeerAddress entry, long nowNanos) {
        Incarnation incarnation = entry.incarnation();
        unlinked(incarnation, nowNanos);
        entries.add(incarnation, nowNanos);
        if (draining) {
            context.output().send(incarnation, new Leaving(DRAIN_REASON));
            return;
        }
        pools.sendCapacities(incarnation);
        pools.linked(nowNanos);
    }

    /**
     * Handles the loss of a link.
     *
     * @param entry the entry whose link was lost
     * @param nowNanos the current time, in ns
     */
    public void unlinked(Incarnation entry, long nowNanos) {
        if (entries.remove(entry).isPresent()) {
            pools.unlinked(entry, nowNanos);
        }
    }

    /**
     * Handles a message from a linked entry; a message from any other entry is ignored.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the current time, in ns
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        Optional<EntryLink> link = entries.find(from);
        if (link.isEmpty()) {
            return;
        }
        if (link.get().messageReceived(nowNanos)) {
            pools.entryResponsive(from, nowNanos);
        }
        if (message instanceof Start start) {
            starter.start(from, start, pools.find(start.service()), draining, nowNanos);
            pools.distribute(start.service(), nowNanos);
        } else if (message instanceof Demand demand) {
            pools.demand(from, demand, nowNanos);
        } else if (message instanceof Release release) {
            pools.released(from, release, nowNanos);
        } else if (message instanceof CancelTasks cancel) {
            starter.cancel(cancel.submission());
        } else if (message instanceof Resume resume) {
            resume(from, resume);
        } else if (message instanceof Seal seal) {
            sealHandler.handle(from, seal);
        } else if (message instanceof SealBatch batch) {
            sealHandler.handle(from, batch);
        } else if (message instanceof Leaving) {
            link.get().markLeaving();
        }
    }

    private void resume(Incarnation entry, Resume resume) {
        startFilter.rejectUpTo(entry, resume.lastSequence());
        List<TaskReport> reports = resume.tasks().stream().map(records::report).toList();
        for (TaskReport report : reports) {
            if (report.state() == TaskState.NOT_STARTED) {
                records.removeNotRun(report.task());
            }
        }
        context.output().send(entry, new Resumed(resume.lastSequence(), reports));
    }

    /**
     * Handles the end of a task that {@link AgentOutput#start} sent to an endpoint.
     *
     * <p>The outcome not-run means that the task never reached the endpoint, for instance because the endpoint refused
     * the connection.
     *
     * @param task the task's ID
     * @param result the result of the task
     * @param nowNanos the current time, in ns
     */
    public void taskEnded(TaskId task, TaskResult result, long nowNanos) {
        Optional<RunningTask> ended = starter.ended(task, result);
        if (ended.isEmpty()) {
            context.invariants().check(false, "every task that ends is running");
            return;
        }
        RunningTask running = ended.get();
        running.pool().ended(running, result, nowNanos);
        boolean linked = entries.linked(running.entry());
        if (result.outcome() == Outcome.NOT_RUN) {
            records.notRun(task, linked);
            context.output().send(running.entry(), new NotStarted(task, running.sequence(), result.reason()));
            pools.updateCapacity(running.pool().service(), nowNanos);
            return;
        }
        records.finished(task, result);
        boolean complete = result.outcome() == Outcome.COMPLETE;
        context.counters().increment(complete ? AgentCounter.COMPLETED : AgentCounter.FAILED);
        Optional<Grant> next = pools.regrantSlot(running, nowNanos);
        context.output().send(running.entry(), new Finished(task, running.heldMicros(nowNanos), result, next));
        pools.updateCapacity(running.pool().service(), nowNanos);
    }

    /**
     * Applies a change of the configuration that was passed to the constructor.
     *
     * @param nowNanos the current time, in ns
     */
    public void configChanged(long nowNanos) {
        setDraining(stopping || drainedByConfig(), nowNanos);
        pools.distributeAll(nowNanos);
    }

    /**
     * Performs periodic work: expires announcements, revokes the idle leases of unresponsive entries, and ends the
     * pauses of endpoints.
     *
     * @param nowNanos the current time, in ns
     */
    public void tick(long nowNanos) {
        for (EntryLink link : entries.all()) {
            if (link.becameUnresponsive(context.limits().linkTimeoutMillis(), nowNanos)) {
                pools.entryUnresponsive(link.entry());
            }
        }
        endpoints.tick(nowNanos);
        pools.tick(nowNanos);
    }

    /**
     * Stops accepting new tasks permanently; running tasks continue.
     *
     * @param nowNanos the current time, in ns
     */
    public void drain(long nowNanos) {
        stopping = true;
        setDraining(true, nowNanos);
    }

    private void setDraining(boolean drains, long nowNanos) {
        if (drains == draining) {
            return;
        }
        draining = drains;
        pools.closed(drains);
        if (drains) {
            entries.all().forEach(link -> context.output().send(link.entry(), new Leaving(DRAIN_REASON)));
            return;
        }
        entries.all().forEach(link -> pools.sendCapacities(link.entry()));
        pools.linked(nowNanos);
    }

    /**
     * Returns whether no task is running.
     *
     * @return true if no task is running
     */
    public boolean idle() {
        return starter.idle();
    }

    /**
     * Returns whether the agent has neither running tasks nor reported demand.
     *
     * @return true if no task is running and no entry has reported a queued task
     */
    public boolean hasNoPendingWork() {
        return starter.idle() && pools.hasNoDemand();
    }
}
