package org.knapweedmount.daemon.runtime;

import java.util.Locale;

/** The states of a process; the transitions are defined in {@code process.json}. */
public enum ProcessState {
    /** The process opens its ports and loads its first configuration. */
    STARTING,
    /** The process serves requests. */
    SERVING,
    /** Peers are told that the process stops; work that they still send is accepted. */
    DRAINING,
    /** New work is refused; accepted work is completed. */
    FINISHING,
    /** Ports, links and threads are being closed. */
    CLOSING,
    /** All ports, links and threads are closed. */
    STOPPED;

    /**
     * Returns the name of the state in logs and in the operator interface.
     *
     * @return for instance {@code draining}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether a stop has been requested.
     *
     * @return true from {@link #DRAINING} on
     */
    public boolean stopping() {
        return compareTo(DRAINING) >= 0;
    }
}
