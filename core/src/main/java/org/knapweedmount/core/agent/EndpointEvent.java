package org.knapweedmount.core.agent;

/** What changes the state of an endpoint. */
enum EndpointEvent {
    /** It announced itself, for the first time or again. */
    ANNOUNCED,
    /** It completed a task. */
    SUCCEEDED,
    /** It failed a task, but not as many in a row as set it aside. */
    FAILED,
    /** It failed a task, and as many in a row as set it aside. */
    FAILED_REPEATEDLY,
    /** The pause after it was set aside has ended. */
    PAUSE_ENDED,
    /** It left, or its announcement expired. */
    LEFT,
    /** Nothing runs on it any more. */
    LAST_TASK_ENDED
}
