package org.knapweedmount.daemon.runtime;

import java.util.Locale;

/** The life of a process; the steps are in {@code process.json}. */
public enum ProcessState {
    /** It opens its ports and takes its first configuration. */
    STARTING,
    /** It serves. */
    SERVING,
    /** Others are told that it stops; what they still send is accepted. */
    DRAINING,
    /** It refuses new work and finishes what it has. */
    FINISHING,
    /** It closes what is open. */
    CLOSING,
    /** Everything is closed. */
    STOPPED;

    /**
     * Returns the word used towards operators.
     *
     * @return for instance {@code draining}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether a stop has begun.
     *
     * @return true from {@link #DRAINING} on
     */
    public boolean stopping() {
        return compareTo(DRAINING) >= 0;
    }
}
