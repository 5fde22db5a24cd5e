package org.knapweedmount.standins.executor;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** The faults that an executor can inject into the tasks sent to it. */
public enum FaultMode {
    /** Runs each task for the requested time. */
    NORMAL(true, true, 200),
    /** Fails each task immediately after the start. */
    FAIL_ALL(true, true, 500),
    /** Accepts requests but neither starts tasks nor responds. */
    BLACK_HOLE(false, false, 0),
    /** Starts each task, but never completes it unless it is stopped. */
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
     * Parses the name of a mode.
     *
     * @param text the name, for instance {@code fail-all}
     * @return the mode
     * @throws ParseException if no mode has this name
     */
    public static FaultMode parse(String text) throws ParseException {
        for (FaultMode mode : values()) {
            if (mode.text().equals(text)) {
                return mode;
            }
        }
        throw new ParseException("'" + text + "' is not a fault mode; expected normal, fail-all, black-hole or hang");
    }

    /**
     * Returns the name of the mode on the command line and in requests.
     *
     * @return the name, for instance {@code fail-all}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns whether tasks are started.
     *
     * @return false if requests for tasks are ignored
     */
    public boolean startsTasks() {
        return startsTasks;
    }

    /**
     * Returns whether a started task ends without being stopped.
     *
     * @return false if tasks run until they are stopped
     */
    public boolean endsTasks() {
        return endsTasks;
    }

    /**
     * Returns the response status of a task that has ended.
     *
     * @return an HTTP status, 0 if tasks do not end without being stopped
     */
    public int responseStatus() {
        return responseStatus;
    }

    /**
     * Returns the time for which a task runs.
     *
     * @param requestedMicros the run time that the task requested, in µs
     * @return the run time, in µs
     */
    public long runMicros(long requestedMicros) {
        return this == FAIL_ALL ? 0 : requestedMicros;
    }
}
