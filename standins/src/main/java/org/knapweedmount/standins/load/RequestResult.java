package org.knapweedmount.standins.load;

import org.knapweedmount.api.Reason;

/**
 * The result of a request of the load, with or without a response.
 *
 * @param outcome the outcome of the request
 * @param reason the reason stated by the entry, or the class of the error; empty if there is none
 * @param submission the ID of the submission, empty if the entry sent none
 */
record RequestResult(RequestOutcome outcome, String reason, String submission) {
    /** The result of a request that had no response when the load ended. */
    static final RequestResult NO_RESPONSE = new RequestResult(RequestOutcome.NO_ANSWER, "", "");

    /** Returns the result of a request that was sent but got no response. */
    static RequestResult lost(Throwable error) {
        return new RequestResult(RequestOutcome.LOST, error.getClass().getSimpleName(), "");
    }

    /** Returns the result of a request that could not be sent. */
    static RequestResult unreached(Throwable error) {
        return new RequestResult(RequestOutcome.UNREACHED, error.getClass().getSimpleName(), "");
    }

    /**
     * Returns whether the request may be retried on another entry.
     *
     * <p>The refusal of a draining entry is final for submissions whose IDs it has issued, so these are not retried.
     *
     * @param issuedId the ID with which the request was sent, empty if it had none
     * @return true if nothing was sent, or a request without an ID was refused because the entry is draining
     */
    boolean mayRetryOnAnotherEntry(String issuedId) {
        boolean refusedByDrain = outcome == RequestOutcome.NOT_RUN && reason.equals(Reason.DRAINING.text());
        return outcome == RequestOutcome.UNREACHED || (refusedByDrain && issuedId.isEmpty());
    }
}
