package org.knapweedmount.standins.load;

import java.util.Locale;

import org.knapweedmount.api.Outcome;

/** How a request of the load ended, as its sender sees it. */
enum RequestOutcome {
    /** The whole answer to this request came. */
    COMPLETE,
    /** The answer says that it failed. */
    FAILED,
    /** The answer says that nothing was started. */
    NOT_RUN,
    /** The answer says that it is not known what happened. */
    UNKNOWN,
    /** No connection to any entry could be made, so that nothing was sent. */
    UNREACHED,
    /** The connection broke or the time limit of the request passed before an answer came. */
    LOST,
    /** No answer had come when the load ended. */
    NO_ANSWER,
    /** An answer came that is not whole, belongs to another request, or states no outcome. */
    WRONG;

    static RequestOutcome of(Outcome outcome) {
        return valueOf(outcome.name());
    }

    /**
     * Tells whether two answers to one submission can't both be true.
     *
     * @param other the other answer
     * @return true if one says that nothing was started and the other that something was
     */
    boolean contradicts(RequestOutcome other) {
        return (this == NOT_RUN && other.ran()) || (other == NOT_RUN && ran());
    }

    private boolean ran() {
        return this == COMPLETE || this == FAILED;
    }

    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
