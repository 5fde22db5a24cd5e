package org.knapweedmount.core.entry;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.TaskReport;

/**
 * Tracks tasks that were sent to agents until their outcome is known.
 *
 * <p>A task is queued again only after its agent has confirmed that it did not start it and never will. A timeout only
 * determines when the caller is told that the outcome is unknown.
 */
final class InFlightTasks {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long FLOW_PAUSE_NANOS = 100 * NANOS_PER_MILLI;

    private final EntryContext context;
    private final TaskScheduler scheduler;
    private final Submissions submissions;
    private final ServiceRegistry services;
    private final RunTimes runTimes;
    private final Set<AgentState> unresolvedAgents = new LinkedHashSet<>();

    InFlightTasks(
            EntryContext context,
            TaskScheduler scheduler,
            Submissions submissions,
            ServiceRegistry services,
            RunTimes runTimes) {
        this.context = context;
        this.scheduler = scheduler;
        this.submissions = submissions;
        this.services = services;
        this.runTimes = runTimes;
    }

    /** Handles a result; if its task is no longer in flight, only the lease that comes with it is used. */
    void finished(AgentState agent, Finished finished, long nowNanos) {
        Optional<TaskRun> task = agent.inFlight(finished.task());
        if (task.isPresent()) {
            if (finished.result().outcome() == Outcome.COMPLETE && finished.runMicros() > 0) {
                runTimes.addSample(task.get().flow().kind(), finished.runMicros());
            }
            recordTimes(task.get(), finished, nowNanos);
            taskEnded(agent, task.get(), finished.result(), nowNanos);
        }
        finished.next().ifPresent(grant -> scheduler.granted(agent, grant, nowNanos));
    }

    private void recordTimes(TaskRun task, Finished finished, long nowNanos) {
        long awayMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - task.sentNanos());
        context.counters().add(EntryCounter.AWAY_MICROS, awayMicros);
        context.counters().add(EntryCounter.HELD_MICROS, finished.runMicros());
    }

    void notStarted(AgentState agent, NotStarted notStarted, long nowNanos) {
        agent.inFlight(notStarted.task())
                .filter(task -> task.sequence() == notStarted.sequence())
                .ifPresent(task -> notStarted(agent, task, notStarted.reason(), nowNanos));
    }

    private void notStarted(AgentState agent, TaskRun task, Reason reason, long nowNanos) {
        if (isTransient(reason)) {
            agent.pause(task.flow(), nowNanos + FLOW_PAUSE_NANOS);
        }
        denied(agent, task, reason, nowNanos);
    }

    /** Returns whether an agent that has denied a start for a reason may accept it soon. */
    private static boolean isTransient(Reason reason) {
        return reason == Reason.LEASE_LAPSED || reason == Reason.OVER_QUOTA;
    }

    /** Asks an agent that is linked again for the state of the tasks that were sent to it over earlier links. */
    void linked(AgentState agent) {
        if (agent.lastSequence() == 0) {
            return;
        }
        List<TaskRun> tasks = agent.inFlight();
        List<TaskId> ids = tasks.stream().map(TaskRun::id).toList();
        context.output().send(agent.incarnation(), new Resume(agent.lastSequence(), ids));
        tasks.stream()
                .map(TaskRun::submission)
                .distinct()
                .filter(submission -> submission.stopReason() == Reason.CANCELLED)
                .forEach(submission -> context.output().send(agent.incarnation(), new CancelTasks(submission.id())));
    }

    void unlinked(AgentState agent) {
        if (agent.hasInFlight()) {
            agent.inFlight().forEach(TaskRun::linkLost);
            unresolvedAgents.add(agent);
        }
    }

    void resumed(AgentState agent, Resumed resumed, long nowNanos) {
        for (TaskReport report : resumed.tasks()) {
            agent.inFlight(report.task())
                    .filter(task -> task.phase() == TaskPhase.AWAITING_AGENT)
                    .filter(task -> task.sequence() <= resumed.lastSequence())
                    .ifPresent(task -> resumed(agent, task, report, nowNanos));
        }
    }

    /** Ends tasks with an unknown outcome if their agent has not reported their state in time. */
    void tick(long nowNanos) {
        if (unresolvedAgents.isEmpty()) {
            return;
        }
        long limitNanos = context.limits().lostTaskMillis() * NANOS_PER_MILLI;
        for (AgentState agent : List.copyOf(unresolvedAgents)) {
            if (agent.inFlight().stream().noneMatch(InFlightTasks::isAwaitingAgent)) {
                unresolvedAgents.remove(agent);
            } else if (nowNanos - agent.linkLostNanos() >= limitNanos) {
                agentLost(agent, nowNanos);
            }
        }
    }

    /** Ends the tasks of an agent that is not expected to be linked again, with an unknown outcome. */
    void agentLost(AgentState agent, long nowNanos) {
        unresolvedAgents.remove(agent);
        for (TaskRun task : agent.inFlight()) {
            if (isAwaitingAgent(task)) {
                agent.taskResolved(task);
                submissions.taskEnded(task, TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST), nowNanos);
            }
        }
    }

    private static boolean isAwaitingAgent(TaskRun task) {
        return task.phase() == TaskPhase.AWAITING_AGENT;
    }

    private void resumed(AgentState agent, TaskRun task, TaskReport report, long nowNanos) {
        switch (report.state()) {
            case NOT_STARTED -> denied(agent, task, Reason.LEASE_LAPSED, nowNanos);
            case RUNNING -> task.foundRunning();
            case FINISHED -> taskEnded(agent, task, report.result().orElse(forgottenResult()), nowNanos);
            default -> taskEnded(agent, task, forgottenResult(), nowNanos);
        }
    }

    private static TaskResult forgottenResult() {
        return TaskResult.of(Outcome.UNKNOWN, Reason.FORGOTTEN);
    }

    private void taskEnded(AgentState agent, TaskRun task, TaskResult result, long nowNanos) {
        if (result.outcome() == Outcome.NOT_RUN) {
            task.exclude(agent);
            denied(agent, task, result.reason(), nowNanos);
            return;
        }
        agent.taskResolved(task);
        submissions.taskEnded(task, result, nowNanos);
    }

    private void denied(AgentState agent, TaskRun task, Reason reason, long nowNanos) {
        context.counters().increment(EntryCounter.STARTS_REFUSED);
        agent.taskResolved(task);
        task.denied(agent);
        if (!isTransient(reason)) {
            task.exclude(agent);
        }
        if (mayRequeue(task, reason, nowNanos)) {
            scheduler.requeue(task, nowNanos);
            return;
        }
        submissions.end(task, TaskResult.of(Outcome.NOT_RUN, reason), nowNanos);
    }

    private boolean mayRequeue(TaskRun task, Reason reason, long nowNanos) {
        if (task.submission().stopped() || reason == Reason.SEALED) {
            return false;
        }
        return isTransient(reason) || services.hasAgentFor(task, nowNanos);
    }
}
