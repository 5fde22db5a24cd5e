package org.knapweedmount.standins.executor;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** How an executor treats the tasks that it is given. */
public enum FaultMode {
    /** Runs each task for the time that it asks for. */
    NORMAL(true, true, 200),
    /** Fails each task as soon as it is started. */
    FAIL_ALL(true, true, 500),
    /** Starts nothing and answers nothing. */
    BLACK_HOLE(false, false, 0),
    /** Starts each task, which then never ends unless it is stopped. */
    HANG(true, false, 0);

    private final boolean startsTasks;
    private final boolean endsTasks;
    private final int responseStatus;

    FaultMode(boolean startsTasks, boolean endsTasks, int responseStatus) {
        this.startsTasks = startsTasks;
        this.endsTasks = endsTasks;
        this.responseStatus = responseStatus;
    }

    /**
     * Finds the mode with a name.
     *
     * @param text for instance {@code fail-all}
     * @return the mode
     * @throws ParseException if there is no such mode
     */
    public static FaultMode parse(String text) throws ParseException {
        for (FaultMode mode : values()) {
            if (mode.text().equals(text)) {
                return mode;
            }
        }
        throw new ParseException("'" + text + "' is no mode; expected normal, fail-all, black-hole or hang");
    }

    /**
     * Returns the name used on the command line and in requests.
     *
     * @return for instance {@code fail-all}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Tells whether a task is started.
     *
     * @return false if the request is ignored
     */
    public boolean startsTasks() {
        return startsTasks;
    }

    /**
     * Tells whether a started task ends by itself.
     *
     * @return false if it runs until it is stopped
     */
    public boolean endsTasks() {
        return endsTasks;
    }

    /**
     * Returns the status of the answer of a task that has ended.
     *
     * @return an HTTP status
     */
    public int responseStatus() {
        return responseStatus;
    }

    /**
     * Tells how long a task runs.
     *
     * @param requestedMicros how long the task asks to run, in µs
     * @return the run time, in µs
     */
    public long runMicros(long requestedMicros) {
        return this == FAIL_ALL ? 0 : requestedMicros;
    }
}
