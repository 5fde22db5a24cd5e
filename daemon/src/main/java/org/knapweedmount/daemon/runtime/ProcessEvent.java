package org.knapweedmount.daemon.runtime;

/** The events in the lifecycle of a process. */
public enum ProcessEvent {
    /** The process listens on its ports. */
    STARTED,
    /** A signal or an operator asked for a planned stop. */
    STOP_REQUESTED,
    /** The decision thread refuses new work. */
    INTAKE_CLOSED,
    /** No work is left. */
    WORK_ENDED,
    /** The time limit of a planned stop is reached, and work is left. */
    TIME_LIMIT_REACHED,
    /** All ports, links and threads are closed. */
    CLOSED
}
