package org.knapweedmount.standins.platform;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** How the stand-in treats requests, to bring about the outages of the platform. */
public enum ServiceMode {
    /** Carries out and answers everything. */
    UP(true, ResponseAction.RESPOND, ResponseAction.RESPOND),
    /** Refuses everything at once. */
    DOWN(false, ResponseAction.REJECT, ResponseAction.REJECT),
    /** Does nothing and answers nothing. */
    SILENT(false, ResponseAction.NO_RESPONSE, ResponseAction.NO_RESPONSE),
    /** Carries out and answers everything after a delay. */
    SLOW(true, ResponseAction.RESPOND, ResponseAction.RESPOND),
    /** Carries out everything, but closes the connection in place of the answer to a write. */
    LOSE_ANSWERS(true, ResponseAction.RESPOND, ResponseAction.CLOSE_CONNECTION);

    private final boolean executesRequests;
    private final ResponseAction readResponse;
    private final ResponseAction writeResponse;

    /** How a request ends. */
    public enum ResponseAction {
        /** The request is answered. */
        RESPOND,
        /** The request is answered 503. */
        REJECT,
        /** The request is never answered. */
        NO_RESPONSE,
        /** The connection is closed without an answer. */
        CLOSE_CONNECTION
    }

    ServiceMode(boolean executesRequests, ResponseAction readResponse, ResponseAction writeResponse) {
        this.executesRequests = executesRequests;
        this.readResponse = readResponse;
        this.writeResponse = writeResponse;
    }

    /**
     * Finds the mode with a name.
     *
     * @param text for instance {@code lose-answers}
     * @return the mode
     * @throws ParseException if there is no such mode
     */
    public static ServiceMode parse(String text) throws ParseException {
        for (ServiceMode mode : values()) {
            if (mode.text().equals(text)) {
                return mode;
            }
        }
        throw new ParseException("'" + text + "' is no mode; expected up, down, silent, slow or lose-answers");
    }

    /**
     * Returns the name used in requests.
     *
     * @return for instance {@code lose-answers}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Tells whether requests take effect.
     *
     * @return true if they do, whatever becomes of the answer
     */
    public boolean executesRequests() {
        return executesRequests;
    }

    /**
     * Tells how a request ends.
     *
     * @param write true for a transaction or a change of an object
     * @return how it ends
     */
    public ResponseAction responseAction(boolean write) {
        return write ? writeResponse : readResponse;
    }
}
