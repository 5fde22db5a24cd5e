package org.knapweedmount.daemon.http;

import org.knapweedmount.api.JobAnswer;

/** A caller who waits for an answer. */
@FunctionalInterface
public interface PendingResponse {
    /**
     * Passes the answer on to the caller; called on the decision thread, so that it does not block.
     *
     * @param answer the answer
     */
    void answer(JobAnswer answer);
}
