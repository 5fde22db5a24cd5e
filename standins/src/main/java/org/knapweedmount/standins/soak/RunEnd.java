package org.knapweedmount.standins.soak;

import java.util.Locale;

/** How a run ended at a worker. */
enum RunEnd {
    /** The task is done. */
    DONE,
    /** The agent ordered the stop. */
    STOPPED,
    /** The lease expired. */
    LAPSED,
    /** The worker crashed or has left; nobody is told. */
    LOST;

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
