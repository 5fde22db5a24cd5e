package org.knapweedmount.daemon.http;

import org.knapweedmount.api.JobAnswer;

/** Receives the answer to a pending request. */
@FunctionalInterface
public interface PendingResponse {
    /**
     * Sends the answer to the caller. Called on the decision thread, so it must not block.
     *
     * @param answer the answer
     */
    void answer(JobAnswer answer);
}
