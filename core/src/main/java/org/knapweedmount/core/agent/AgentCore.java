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
 * Decides for one agent: whom free slots go to, which starts are accepted, and what is remembered of them.
 *
 * <p>Used by one thread. Times are of a monotonic clock, in nanoseconds.
 */
public final class AgentCore {
    private static final String DRAIN_REASON = "draining";

    private final AgentPorts ports;
    private final PeerAddress self;
    private final ConfigState config;
    private final EntryTable entries;
    private final EndpointTable endpoints;
    private final ServicePools pools;
    private final StartGate gate;
    private final SealAnswers sealAnswers;
    private final StartRecords records;
    private final TaskStarter starter;
    private boolean stopping;
    private boolean draining;

    /**
     * Creates the decisions of an agent without endpoints or links.
     *
     * @param limits what bounds memory and waiting
     * @param self the agent's own address
     * @param config the configuration in force, changed by the owner before {@link #configChanged}
     * @param output carries out what is decided
     * @param counters what is counted
     * @param invariants checks of the program itself
     */
    public AgentCore(
            AgentLimits limits,
            PeerAddress self,
            ConfigState config,
            AgentOutput output,
            Counters<AgentCounter> counters,
            Invariants invariants) {
        this.ports = new AgentPorts(limits, output, counters, invariants);
        this.self = self;
        this.config = config;
        this.entries = new EntryTable(self.incarnation());
        this.endpoints = new EndpointTable(invariants);
        this.pools = new ServicePools(ports, endpoints, entries, config);
        this.gate = new StartGate(entries::linked);
        Seals seals = new Seals(limits.maxSeals(), entries::linked, counters);
        this.records = new StartRecords(limits, counters, invariants);
        this.sealAnswers = new SealAnswers(ports, seals, records);
        this.starter = new TaskStarter(ports, gate, seals, records);
        this.draining = drainedByConfig();
        pools.closed(draining);
    }

    private boolean drainedByConfig() {
        return config.drained(self.incarnation().process(), self.dataCentre());
    }

    /**
     * Takes a new or repeated announcement of an endpoint.
     *
     * @param endpoint the announcement
     * @param nowNanos the present time
     */
    public void endpointAnnounced(EndpointAnnouncement endpoint, long nowNanos) {
        Optional<Endpoint> replaced = endpoints.announced(endpoint, nowNanos);
        replaced.ifPresent(left -> pools.measure(left.service(), nowNanos));
        pools.measure(endpoint.service(), nowNanos);
    }

    /**
     * Stops giving work to an endpoint that is leaving; running tasks go on.
     *
     * @param id the endpoint's id
     * @param nowNanos the present time
     */
    public void endpointLeft(String id, long nowNanos) {
        endpoints.left(id).ifPresent(endpoint -> pools.measure(endpoint.service(), nowNanos));
    }

    /**
     * Takes a worker's report of what the running tasks of one kind really use.
     *
     * @param id the endpoint's id
     * @param kind the kind of the tasks
     * @param usedPerTask what one task used at its peak
     * @param nowNanos the present time
     */
    public void usageReported(String id, String kind, Resources usedPerTask, long nowNanos) {
        Optional<Endpoint> endpoint = endpoints.find(id);
        if (endpoint.isEmpty()) {
            return;
        }
        endpoint.get().reported(kind, usedPerTask);
        starter.recharge(endpoint.get());
        pools.serve(endpoint.get().service(), nowNanos);
    }

    /**
     * Takes a new link to an entry, after both sides have said hello.
     *
     * @param entry the entry
     * @param nowNanos the present time
     */
    public void linked(PeerAddress entry, long nowNanos) {
        Incarnation incarnation = entry.incarnation();
        unlinked(incarnation, nowNanos);
        entries.add(incarnation, nowNanos);
        if (draining) {
            ports.output().send(incarnation, new Leaving(DRAIN_REASON));
            return;
        }
        pools.tell(incarnation);
        pools.linked(nowNanos);
    }

    /**
     * Takes the loss of a link.
     *
     * @param entry the entry that was linked
     * @param nowNanos the present time
     */
    public void unlinked(Incarnation entry, long nowNanos) {
        if (entries.remove(entry).isPresent()) {
            pools.unlinked(entry, nowNanos);
        }
    }

    /**
     * Takes a message from a linked entry.
     *
     * @param from the entry
     * @param message the message
     * @param nowNanos the present time
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        Optional<EntryLink> link = entries.find(from);
        if (link.isEmpty()) {
            return;
        }
        if (link.get().heard(nowNanos)) {
            pools.returned(from, nowNanos);
        }
        if (message instanceof Start start) {
            starter.start(from, start, pools.find(start.service()), draining, nowNanos);
            pools.serve(start.service(), nowNanos);
        } else if (message instanceof Demand demand) {
            pools.demand(from, demand, nowNanos);
        } else if (message instanceof Release release) {
            pools.released(from, release, nowNanos);
        } else if (message instanceof CancelTasks cancel) {
            starter.cancel(cancel.submission());
        } else if (message instanceof Resume resume) {
            resume(from, resume);
        } else if (message instanceof Seal seal) {
            sealAnswers.answer(from, seal);
        } else if (message instanceof SealBatch batch) {
            sealAnswers.answer(from, batch);
        } else if (message instanceof Leaving) {
            link.get().leaves();
        }
    }

    private void resume(Incarnation entry, Resume resume) {
        gate.raise(entry, resume.lastSequence());
        List<TaskReport> reports = resume.tasks().stream().map(records::report).toList();
        for (TaskReport report : reports) {
            if (report.state() == TaskState.NOT_STARTED) {
                records.forgetNotRun(report.task());
            }
        }
        ports.output().send(entry, new Resumed(resume.lastSequence(), reports));
    }

    /**
     * Takes the end of a task that was sent to an endpoint.
     *
     * <p>A result whose outcome is not-run says that the endpoint was never sent the task, for instance because it
     * refused the connection.
     *
     * @param task the task's id
     * @param result how it ended
     * @param nowNanos the present time
     */
    public void taskEnded(TaskId task, TaskResult result, long nowNanos) {
        Optional<RunningTask> ended = starter.ended(task, result);
        if (ended.isEmpty()) {
            ports.invariants().check(false, "a task that ends was started and has not ended before");
            return;
        }
        RunningTask running = ended.get();
        running.pool().ended(running, result, nowNanos);
        boolean linked = entries.linked(running.entry());
        if (result.outcome() == Outcome.NOT_RUN) {
            records.notRun(task, linked);
            ports.output().send(running.entry(), new NotStarted(task, running.sequence(), result.reason()));
            pools.measure(running.pool().service(), nowNanos);
            return;
        }
        records.finished(task, result);
        boolean complete = result.outcome() == Outcome.COMPLETE;
        ports.counters().increment(complete ? AgentCounter.COMPLETED : AgentCounter.FAILED);
        Optional<Grant> next = pools.passOn(running, nowNanos);
        ports.output().send(running.entry(), new Finished(task, running.heldMicros(nowNanos), result, next));
        pools.measure(running.pool().service(), nowNanos);
    }

    /**
     * Takes note that the owner has changed the configuration.
     *
     * @param nowNanos the present time
     */
    public void configChanged(long nowNanos) {
        setDraining(stopping || drainedByConfig(), nowNanos);
        pools.serveAll(nowNanos);
    }

    /**
     * Does what is due by now: expires announcements, leases of silent entries and pauses.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        for (EntryLink link : entries.all()) {
            if (link.fellSilent(ports.limits().linkTimeoutMillis(), nowNanos)) {
                pools.silent(link.entry());
            }
        }
        endpoints.tick(nowNanos);
        pools.tick(nowNanos);
    }

    /**
     * Stops taking new tasks for good; running tasks go on.
     *
     * @param nowNanos the present time
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
            entries.all().forEach(link -> ports.output().send(link.entry(), new Leaving(DRAIN_REASON)));
            return;
        }
        entries.all().forEach(link -> pools.tell(link.entry()));
        pools.linked(nowNanos);
    }

    /**
     * Tells whether nothing runs any more.
     *
     * @return true if no task is running
     */
    public boolean idle() {
        return starter.idle();
    }

    /**
     * Tells whether there is no work, so that nothing urgent is due.
     *
     * @return true if no task is running and no entry has told of a queued one
     */
    public boolean hasNoPendingWork() {
        return starter.idle() && pools.noneQueued();
    }
}
