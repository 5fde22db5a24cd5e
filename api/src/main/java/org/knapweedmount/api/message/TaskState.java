package org.knapweedmount.api.message;

/** The state of a task according to the records of an agent. */
public enum TaskState {
    /** The agent did not start the task and never will. */
    NOT_STARTED,
    /** The task is running; a {@link Finished} will follow on the link to the entry that sent it. */
    RUNNING,
    /** The task has ended; its result is in the report. */
    FINISHED,
    /** The agent no longer has a record of the task; the task may have run. */
    FORGOTTEN
}
