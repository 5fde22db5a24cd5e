package org.knapweedmount.standins.load;

import java.util.Locale;

import org.knapweedmount.api.Outcome;

/** The outcome of a request of the load, as its sender observes it. */
enum RequestOutcome {
    /** A complete response to this request was received. */
    COMPLETE,
    /** The response states that the request failed. */
    FAILED,
    /** The response states that nothing was started. */
    NOT_RUN,
    /** The response states that the outcome is unknown. */
    UNKNOWN,
    /** No connection to any entry could be established, so that nothing was sent. */
    UNREACHED,
    /** The connection failed or the request timed out before a response was received. */
    LOST,
    /** No response had been received when the load ended. */
    NO_ANSWER,
    /** A response was received that is incomplete, belongs to another request, or states no outcome. */
    WRONG;

    static RequestOutcome of(Outcome outcome) {
        return valueOf(outcome.name());
    }

    /**
     * Returns whether two outcomes of one submission contradict each other.
     *
     * @param other the other outcome
     * @return true if one states that nothing was started and the other that a task ran
     */
    boolean contradicts(RequestOutcome other) {
        return (this == NOT_RUN && other.taskRan()) || (other == NOT_RUN && taskRan());
    }

    private boolean taskRan() {
        return this == COMPLETE || this == FAILED;
    }

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
