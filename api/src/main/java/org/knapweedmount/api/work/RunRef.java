package org.knapweedmount.api.work;

/**
 * Identifies a run of a task.
 *
 * @param task the task's name, which contains the job's ID
 * @param run the number of the run, which increases with each start of the task
 */
public record RunRef(String task, int run) {
    // References are keys of maps for each run; the generated methods would call method handles.
    @Override
    public boolean equals(Object other) {
        return other instanceof RunRef ref && run == ref.run && task.equals(ref.task);
    }

    @Override
    public int hashCode() {
        return 31 * task.hashCode() + run;
    }
}
