package org.knapweedmount.standins.platform;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** How the stand-in treats requests, to bring about the outages of the platform. */
public enum ServiceMode {
    /** Carries out and answers everything. */
    UP(true, Ending.ANSWER, Ending.ANSWER),
    /** Refuses everything at once. */
    DOWN(false, Ending.REFUSE, Ending.REFUSE),
    /** Does nothing and answers nothing. */
    SILENT(false, Ending.NONE, Ending.NONE),
    /** Carries out and answers everything after a delay. */
    SLOW(true, Ending.ANSWER, Ending.ANSWER),
    /** Carries out everything, but closes the connection in place of the answer to a write. */
    LOSE_ANSWERS(true, Ending.ANSWER, Ending.CLOSE);

    private final boolean carriesOut;
    private final Ending endOfRead;
    private final Ending endOfWrite;

    /** How a request ends. */
    public enum Ending {
        /** The request is answered. */
        ANSWER,
        /** The request is answered 503. */
        REFUSE,
        /** The request is never answered. */
        NONE,
        /** The connection is closed without an answer. */
        CLOSE
    }

    ServiceMode(boolean carriesOut, Ending endOfRead, Ending endOfWrite) {
        this.carriesOut = carriesOut;
        this.endOfRead = endOfRead;
        this.endOfWrite = endOfWrite;
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
    public boolean carriesOut() {
        return carriesOut;
    }

    /**
     * Tells how a request ends.
     *
     * @param write true for a transaction or a change of an object
     * @return how it ends
     */
    public Ending ending(boolean write) {
        return write ? endOfWrite : endOfRead;
    }
}
