package org.knapweedmount.daemon.runtime;

/** What happens in the life of a process. */
public enum ProcessEvent {
    /** Its ports are open. */
    STARTED,
    /** A signal or an operator asked for a planned stop. */
    STOP_REQUESTED,
    /** The decision thread refuses new work from now on. */
    INTAKE_CLOSED,
    /** No work is left. */
    WORK_ENDED,
    /** Work is left, and the time for a planned stop is over. */
    TIME_LIMIT_REACHED,
    /** All ports, links and threads are closed. */
    CLOSED
}
