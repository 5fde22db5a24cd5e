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

/** The reports of the agents of a roster version on one submission. */
final class SealReports {
    private final SubmissionId id;
    private final Set<Incarnation> missing;
    private final Set<Incarnation> uncertain = new HashSet<>();
    private final Map<Incarnation, List<TaskReport>> tasksByAgent = new LinkedHashMap<>();

    /**
     * Creates a collection without reports.
     *
     * @param id the submission
     * @param agents the agents of the roster version
     */
    SealReports(SubmissionId id, Collection<Incarnation> agents) {
        this.id = id;
        this.missing = new LinkedHashSet<>(agents);
    }

    /** Adds a report of an agent, whose task list replaces an earlier one unless it is empty. */
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
        return ReportedTaskState.of(report) == ReportedTaskState.RUNNING;
    }

    /** Returns whether some agent is running a task of the submission. */
    boolean running() {
        return taskStates().containsValue(ReportedTaskState.RUNNING);
    }

    /** Returns the answer if every task is complete. */
    Optional<JobAnswer> complete(int tasks) {
        Map<Integer, TaskResult> results = new HashMap<>();
        for (List<TaskReport> reports : tasksByAgent.values()) {
            for (TaskReport report : reports) {
                if (ReportedTaskState.of(report) == ReportedTaskState.COMPLETE) {
                    results.put(report.task().index(), report.result().orElseThrow());
                }
            }
        }
        List<TaskResult> ordered = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            if (!results.containsKey(i)) {
                return Optional.empty();
            }
            ordered.add(results.get(i));
        }
        return Optional.of(JobAnswer.complete(id, ordered));
    }

    /**
     * Returns the answer that follows from the reports received so far.
     *
     * @param tasks the number of tasks of the job, empty if it is not known
     */
    JobAnswer conclude(Optional<Integer> tasks) {
        Optional<JobAnswer> complete = tasks.flatMap(this::complete);
        if (complete.isPresent()) {
            return complete.get();
        }
        Map<Integer, ReportedTaskState> taskStates = taskStates();
        if (!missing.isEmpty()) {
            return answer(
                    Outcome.UNKNOWN, Reason.CONNECTION_LOST, "an agent that may have run a task cannot be reached");
        }
        if (taskStates.containsValue(ReportedTaskState.RUNNING)) {
            return answer(Outcome.UNKNOWN, Reason.TIMEOUT, "a task is still running");
        }
        if (!uncertain.isEmpty()) {
            return answer(Outcome.UNKNOWN, Reason.FORGOTTEN, "an agent has no record of whether it ran a task");
        }
        if (taskStates.containsValue(ReportedTaskState.UNKNOWN)) {
            return unknownAnswer(taskStates);
        }
        return concludeCertain(taskStates, tasks);
    }

    /** Returns the answer that names the first task with an unknown outcome and the reason for it. */
    private JobAnswer unknownAnswer(Map<Integer, ReportedTaskState> taskStates) {
        TaskReport report = tasksByAgent.values().stream()
                .flatMap(List::stream)
                .filter(candidate -> taskStates.get(candidate.task().index()) == ReportedTaskState.UNKNOWN)
                .filter(candidate -> ReportedTaskState.of(candidate) == ReportedTaskState.UNKNOWN)
                .findFirst()
                .orElseThrow();
        Reason reason = report.result().map(TaskResult::reason).orElse(Reason.FORGOTTEN);
        return answer(
                Outcome.UNKNOWN, reason, "the outcome of task " + report.task().index() + " is unknown");
    }

    private JobAnswer concludeCertain(Map<Integer, ReportedTaskState> taskStates, Optional<Integer> tasks) {
        if (taskStates.containsValue(ReportedTaskState.FAILED)) {
            return tasks.map(this::failedAnswer).orElseGet(this::failedAnswer);
        }
        if (!taskStates.containsValue(ReportedTaskState.COMPLETE)) {
            return answer(Outcome.NOT_RUN, Reason.SEALED, "no task was started");
        }
        if (tasks.isPresent()) {
            return answer(Outcome.FAILED, Reason.SEALED, "not all tasks were started")
                    .withTasks(taskResults(tasks.get()));
        }
        return answer(Outcome.UNKNOWN, Reason.SEALED, "submit the job again to get its answer");
    }

    private JobAnswer failedAnswer(int tasks) {
        List<TaskResult> results = taskResults(tasks);
        for (int i = 0; i < tasks; i++) {
            TaskResult result = results.get(i);
            if (result.outcome() == Outcome.FAILED) {
                return answer(Outcome.FAILED, result.reason(), Submission.failureDetail(i, result))
                        .withTasks(results);
            }
        }
        return failedAnswer();
    }

    private JobAnswer failedAnswer() {
        return answer(Outcome.FAILED, Reason.TASK_FAILED, "a task failed");
    }

    /** Returns the result of each task, if no task is uncertain. */
    private List<TaskResult> taskResults(int tasks) {
        List<TaskResult> results =
                new ArrayList<>(Collections.nCopies(tasks, TaskResult.of(Outcome.NOT_RUN, Reason.SEALED)));
        for (TaskReport report :
                tasksByAgent.values().stream().flatMap(List::stream).toList()) {
            int index = report.task().index();
            if (index >= tasks || report.result().isEmpty()) {
                continue;
            }
            TaskResult result = report.result().get();
            boolean replaces = results.get(index).outcome() == Outcome.NOT_RUN || result.outcome() == Outcome.COMPLETE;
            if (replaces) {
                results.set(index, result);
            }
        }
        return results;
    }

    private Map<Integer, ReportedTaskState> taskStates() {
        Map<Integer, ReportedTaskState> states = new HashMap<>();
        for (List<TaskReport> reports : tasksByAgent.values()) {
            for (TaskReport report : reports) {
                states.merge(report.task().index(), ReportedTaskState.of(report), ReportedTaskState::max);
            }
        }
        return states;
    }

    private JobAnswer answer(Outcome outcome, Reason reason, String detail) {
        return JobAnswer.ended(Optional.of(id), outcome, reason, detail);
    }
}
