package org.knapweedmount.standins.platform;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** The outages that the platform stand-in can simulate. */
public enum ServiceMode {
    /** Executes every request and responds to it. */
    UP(true, ResponseAction.RESPOND, ResponseAction.RESPOND),
    /** Rejects every request immediately. */
    DOWN(false, ResponseAction.REJECT, ResponseAction.REJECT),
    /** Neither executes requests nor responds to them. */
    SILENT(false, ResponseAction.NO_RESPONSE, ResponseAction.NO_RESPONSE),
    /** Executes every request and responds to it after a delay. */
    SLOW(true, ResponseAction.RESPOND, ResponseAction.RESPOND),
    /** Executes every request, but closes the connection instead of responding to a write. */
    LOSE_ANSWERS(true, ResponseAction.RESPOND, ResponseAction.CLOSE_CONNECTION);

    private final boolean executesRequests;
    private final ResponseAction readAction;
    private final ResponseAction writeAction;

    /** How the stand-in responds to a request. */
    public enum ResponseAction {
        /** Responds with the result of the request. */
        RESPOND,
        /** Responds with status 503. */
        REJECT,
        /** Never responds. */
        NO_RESPONSE,
        /** Closes the connection without a response. */
        CLOSE_CONNECTION
    }

    ServiceMode(boolean executesRequests, ResponseAction readAction, ResponseAction writeAction) {
        this.executesRequests = executesRequests;
        this.readAction = readAction;
        this.writeAction = writeAction;
    }

    /**
     * Parses the name of a mode.
     *
     * @param text the name, for instance {@code lose-answers}
     * @return the mode
     * @throws ParseException if no mode has this name
     */
    public static ServiceMode parse(String text) throws ParseException {
        for (ServiceMode mode : values()) {
            if (mode.text().equals(text)) {
                return mode;
            }
        }
        throw new ParseException("'" + text + "' is not a mode; expected up, down, silent, slow or lose-answers");
    }

    /**
     * Returns the name of the mode in requests.
     *
     * @return the name, for instance {@code lose-answers}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns whether requests are executed.
     *
     * @return true if they are executed, even if no response is sent
     */
    public boolean executesRequests() {
        return executesRequests;
    }

    /**
     * Returns how the stand-in responds to a request.
     *
     * @param write true for a transaction or a change of an object, false for a read
     * @return the response, or what the stand-in does instead
     */
    public ResponseAction responseAction(boolean write) {
        return write ? writeAction : readAction;
    }
}
