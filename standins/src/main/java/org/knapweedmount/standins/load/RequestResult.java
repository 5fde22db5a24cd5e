package org.knapweedmount.standins.load;

import org.knapweedmount.api.Reason;

/**
 * The answer to a request of the load.
 *
 * @param outcome how the request ended
 * @param reason why, in the words of the entry, empty if it gave none
 * @param submission the id of the submission, empty if the entry gave none
 */
record RequestResult(RequestOutcome outcome, String reason, String submission) {
    /** Stands for the answer that had not come when the load ended. */
    static final RequestResult NO_RESPONSE = new RequestResult(RequestOutcome.NO_ANSWER, "", "");

    /** Returns the answer in place of one that did not come after the request was sent. */
    static RequestResult lost(Throwable error) {
        return new RequestResult(RequestOutcome.LOST, error.getClass().getSimpleName(), "");
    }

    /** Returns the answer to a request that could not be sent. */
    static RequestResult unreached(Throwable error) {
        return new RequestResult(RequestOutcome.UNREACHED, error.getClass().getSimpleName(), "");
    }

    /**
     * Tells whether the request may be sent to another entry.
     *
     * <p>A stopping entry refuses for good the submissions whose ids it has issued, so these end with its refusal.
     *
     * @param issuedId the id that the request was sent with, empty if it had none
     * @return true if nothing was sent, or a request without an id was refused because the entry is stopping
     */
    boolean mayRetryOnAnotherEntry(String issuedId) {
        boolean refusedByDrain = outcome == RequestOutcome.NOT_RUN && reason.equals(Reason.DRAINING.text());
        return outcome == RequestOutcome.UNREACHED || (refusedByDrain && issuedId.isEmpty());
    }
}
