package org.knapweedmount.core.dispatch;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.RunRef;

/** One task of a job at its entry. */
final class WorkTask {
    private static final int PERCENT = 100;

    private final WorkJob job;
    private final int stepNumber;
    private final String name;
    private TaskState state = TaskState.BLOCKED;
    private int run;
    private int failures;
    private Optional<Incarnation> agent = Optional.empty();
    private Optional<Incarnation> avoided = Optional.empty();
    private String checkpoint = "";

    WorkTask(WorkJob job, int stepNumber, String name) {
        this.job = job;
        this.stepNumber = stepNumber;
        this.name = name;
    }

    WorkJob job() {
        return job;
    }

    int stepNumber() {
        return stepNumber;
    }

    JobStep step() {
        return job.request().steps().get(stepNumber);
    }

    String name() {
        return name;
    }

    /** Adds to the job's trail what was decided about the present run, named by its step, its task and its number. */
    void note(String decision, long nowNanos) {
        String shortName = name.substring(name.indexOf('.', job.id().length() + 1) + 1) + "#" + run;
        job.trail().add(shortName + " " + decision, nowNanos);
    }

    void noteOrder(WorkerView view, long nowNanos) {
        note("ordered at " + view.agent().process() + " pace " + (int) (PERCENT * view.slowness()) + "%", nowNanos);
    }

    TaskState state() {
        return state;
    }

    RunRef ref() {
        return new RunRef(name, run);
    }

    /** Returns the agent of the worker that the present run was ordered from, empty if there is no run. */
    Optional<Incarnation> agent() {
        return agent;
    }

    /** Returns the agent whose worker ran the task in vain last. */
    Optional<Incarnation> avoided() {
        return avoided;
    }

    String checkpoint() {
        return checkpoint;
    }

    int failures() {
        return failures;
    }

    void order(Incarnation receiver) {
        run++;
        agent = Optional.of(receiver);
        enter(TaskState.ORDERED);
    }

    void queue() {
        agent = Optional.empty();
        enter(TaskState.QUEUED);
    }

    /** Takes note that the worker has seen a higher run of this task, of an entry that had the job before. */
    void skipRuns(int count) {
        run += count;
    }

    void failed() {
        failures++;
    }

    void avoid() {
        avoided = agent;
    }

    void saved(String newest) {
        if (!newest.isEmpty()) {
            checkpoint = newest;
        }
    }

    void end() {
        agent = Optional.empty();
        enter(TaskState.ENDED);
    }

    private void enter(TaskState next) {
        job.moved(state, next);
        state = next;
    }
}
