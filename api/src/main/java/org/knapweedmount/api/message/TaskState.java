package org.knapweedmount.api.message;

/** What an agent knows of a task. */
public enum TaskState {
    /** The agent did not start it and never will. */
    NOT_STARTED,
    /** It is running; a {@link Finished} follows on the link of the entry that sent it. */
    RUNNING,
    /** It has ended; its result is in the report. */
    FINISHED,
    /** The agent no longer has the record, so that the task may have run. */
    FORGOTTEN
}
