package org.knapweedmount.core.agent;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskResult;

/** Whether the result of a task counts for or against the health of its endpoint. */
enum EndpointVerdict {
    /** The endpoint completed the task. */
    SUCCEEDED,
    /** The endpoint was unreachable, broke off its response, or responded with a server error. */
    FAILED,
    /** The request was at fault; the result is not evidence for or against the endpoint. */
    NONE;

    private static final int FIRST_REQUEST_FAULT = 400;
    private static final int FIRST_SERVER_FAULT = 500;

    static EndpointVerdict of(TaskResult result) {
        if (result.outcome() == Outcome.COMPLETE) {
            return SUCCEEDED;
        }
        return requestAtFault(result) ? NONE : FAILED;
    }

    private static boolean requestAtFault(TaskResult result) {
        if (result.reason() == Reason.MALFORMED || result.reason() == Reason.TOO_LARGE) {
            return true;
        }
        return result.status() >= FIRST_REQUEST_FAULT && result.status() < FIRST_SERVER_FAULT;
    }
}
