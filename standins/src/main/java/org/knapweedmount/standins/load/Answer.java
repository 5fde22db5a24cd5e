package org.knapweedmount.standins.load;

import org.knapweedmount.api.Reason;

/**
 * The answer to a request of the load.
 *
 * @param ending how the request ended
 * @param reason why, in the words of the entry, empty if it gave none
 * @param submission the id of the submission, empty if the entry gave none
 */
record Answer(Ending ending, String reason, String submission) {
    /** Stands for the answer that had not come when the load ended. */
    static final Answer NONE = new Answer(Ending.NO_ANSWER, "", "");

    /** Returns the answer in place of one that did not come after the request was sent. */
    static Answer lost(Throwable error) {
        return new Answer(Ending.LOST, error.getClass().getSimpleName(), "");
    }

    /** Returns the answer to a request that could not be sent. */
    static Answer unreached(Throwable error) {
        return new Answer(Ending.UNREACHED, error.getClass().getSimpleName(), "");
    }

    /**
     * Tells whether the request may be sent to another entry.
     *
     * <p>A stopping entry refuses for good the submissions whose ids it has issued, so these end with its refusal.
     *
     * @param issuedId the id that the request was sent with, empty if it had none
     * @return true if nothing was sent, or a request without an id was refused because the entry is stopping
     */
    boolean mayGoElsewhere(String issuedId) {
        boolean refusedByStop = ending == Ending.NOT_RUN && reason.equals(Reason.DRAINING.text());
        return ending == Ending.UNREACHED || (refusedByStop && issuedId.isEmpty());
    }
}
