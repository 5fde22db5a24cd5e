package org.knapweedmount.core.agent;

/** Events of the state chart of an endpoint. */
enum EndpointEvent {
    /** An announcement or heartbeat was received. */
    ANNOUNCED,
    /** A task was completed. */
    SUCCEEDED,
    /** A task failed, and the number of consecutive failures is below the limit. */
    FAILED,
    /** A task failed, and the number of consecutive failures has reached the limit. */
    FAILED_REPEATEDLY,
    /** The pause after repeated failures has ended. */
    PAUSE_ENDED,
    /** The endpoint signed off, or its announcement expired. */
    LEFT,
    /** No task is running on the endpoint any more, or none was running when it left. */
    LAST_TASK_ENDED
}
