package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.TaskReport;

/** What the agents of a roster version have told of one submission. */
final class SealReports {
    private final SubmissionId id;
    private final Set<Incarnation> missing;
    private final Set<Incarnation> uncertain = new HashSet<>();
    private final Map<Incarnation, List<TaskReport>> tasksByAgent = new LinkedHashMap<>();

    /**
     * Creates reports of no agent.
     *
     * @param id the submission
     * @param agents the agents of the roster version
     */
    SealReports(SubmissionId id, Collection<Incarnation> agents) {
        this.id = id;
        this.missing = new LinkedHashSet<>(agents);
    }

    /** Keeps the latest report of an agent. */
    void add(Incarnation agent, Sealed sealed) {
        missing.remove(agent);
        if (!sealed.certain()) {
            uncertain.add(agent);
        }
        if (!sealed.tasks().isEmpty()) {
            tasksByAgent.put(agent, sealed.tasks());
        }
    }

    /** Returns the agents that have not reported. */
    Set<Incarnation> missing() {
        return missing;
    }

    /** Returns the agents that are running a task of the submission. */
    List<Incarnation> runningAgents() {
        return tasksByAgent.entrySet().stream()
                .filter(entry -> entry.getValue().stream().anyMatch(SealReports::isRunning))
                .map(Map.Entry::getKey)
                .toList();
    }

    private static boolean isRunning(TaskReport report) {
        return TaskVerdict.of(report) == TaskVerdict.RUNNING;
    }

    /** Tells whether some agent is running a task of the submission. */
    boolean running() {
        return verdicts().containsValue(TaskVerdict.RUNNING);
    }

    /** Returns the whole answer if every task is complete. */
    Optional<JobAnswer> complete(int tasks) {
        Map<Integer, TaskResult> results = new HashMap<>();
        for (List<TaskReport> reports : tasksByAgent.values()) {
            for (TaskReport report : reports) {
                if (TaskVerdict.of(report) == TaskVerdict.COMPLETE) {
                    results.put(report.task().index(), report.result().orElseThrow());
                }
            }
        }
        List<TaskResult> inOrder = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            if (!results.containsKey(i)) {
                return Optional.empty();
            }
            inOrder.add(results.get(i));
        }
        return Optional.of(JobAnswer.complete(id, inOrder));
    }

    /**
     * Returns the answer that the reports allow, when no further ones are awaited.
     *
     * @param tasks the number of tasks of the job, empty if it is not known
     */
    JobAnswer conclude(Optional<Integer> tasks) {
        Optional<JobAnswer> complete = tasks.flatMap(this::complete);
        if (complete.isPresent()) {
            return complete.get();
        }
        Map<Integer, TaskVerdict> verdicts = verdicts();
        if (!missing.isEmpty()) {
            return answer(Outcome.UNKNOWN, Reason.CONNECTION_LOST, "an agent that may have run it cannot be reached");
        }
        if (verdicts.containsValue(TaskVerdict.RUNNING)) {
            return answer(Outcome.UNKNOWN, Reason.TIMEOUT, "a task is still running");
        }
        if (!uncertain.isEmpty()) {
            return answer(Outcome.UNKNOWN, Reason.FORGOTTEN, "an agent no longer knows whether it ran it");
        }
        if (verdicts.containsValue(TaskVerdict.UNKNOWN)) {
            return unknown(verdicts);
        }
        return concludeCertain(verdicts, tasks);
    }

    /** Tells of the first task that may have run why its result is not known. */
    private JobAnswer unknown(Map<Integer, TaskVerdict> verdicts) {
        TaskReport report = tasksByAgent.values().stream()
                .flatMap(List::stream)
                .filter(candidate -> verdicts.get(candidate.task().index()) == TaskVerdict.UNKNOWN)
                .filter(candidate -> TaskVerdict.of(candidate) == TaskVerdict.UNKNOWN)
                .findFirst()
                .orElseThrow();
        Reason reason = report.result().map(TaskResult::reason).orElse(Reason.FORGOTTEN);
        return answer(
                Outcome.UNKNOWN, reason, "what became of task " + report.task().index() + " is not known");
    }

    private JobAnswer concludeCertain(Map<Integer, TaskVerdict> verdicts, Optional<Integer> tasks) {
        if (verdicts.containsValue(TaskVerdict.FAILED)) {
            return tasks.map(this::failed).orElseGet(this::failed);
        }
        if (!verdicts.containsValue(TaskVerdict.COMPLETE)) {
            return answer(Outcome.NOT_RUN, Reason.SEALED, "nothing was started");
        }
        if (tasks.isPresent()) {
            return answer(Outcome.FAILED, Reason.SEALED, "not all tasks were started")
                    .withTasks(endings(tasks.get()));
        }
        return answer(Outcome.UNKNOWN, Reason.SEALED, "submit the job again to get its answer");
    }

    private JobAnswer failed(int tasks) {
        List<TaskResult> endings = endings(tasks);
        for (int i = 0; i < tasks; i++) {
            TaskResult ending = endings.get(i);
            if (ending.outcome() == Outcome.FAILED) {
                return answer(Outcome.FAILED, ending.reason(), Submission.failure(i, ending))
                        .withTasks(endings);
            }
        }
        return failed();
    }

    private JobAnswer failed() {
        return answer(Outcome.FAILED, Reason.TASK_FAILED, "a task failed");
    }

    /** Returns how each task ended, when nothing is uncertain. */
    private List<TaskResult> endings(int tasks) {
        List<TaskResult> endings =
                new ArrayList<>(Collections.nCopies(tasks, TaskResult.of(Outcome.NOT_RUN, Reason.SEALED)));
        for (TaskReport report :
                tasksByAgent.values().stream().flatMap(List::stream).toList()) {
            int index = report.task().index();
            if (index >= tasks || report.result().isEmpty()) {
                continue;
            }
            TaskResult result = report.result().get();
            boolean stronger = endings.get(index).outcome() == Outcome.NOT_RUN || result.outcome() == Outcome.COMPLETE;
            if (stronger) {
                endings.set(index, result);
            }
        }
        return endings;
    }

    private Map<Integer, TaskVerdict> verdicts() {
        Map<Integer, TaskVerdict> verdicts = new HashMap<>();
        for (List<TaskReport> reports : tasksByAgent.values()) {
            for (TaskReport report : reports) {
                verdicts.merge(report.task().index(), TaskVerdict.of(report), TaskVerdict::stronger);
            }
        }
        return verdicts;
    }

    private JobAnswer answer(Outcome outcome, Reason reason, String detail) {
        return JobAnswer.ended(Optional.of(id), outcome, reason, detail);
    }
}
