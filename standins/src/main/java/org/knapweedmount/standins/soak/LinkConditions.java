package org.knapweedmount.standins.soak;

/**
 * How the links between one process and an entry behave; a change concerns open links and new ones.
 *
 * <p>Confined to one event loop.
 */
final class LinkConditions {
    private static final int DEFAULT_DELAY_MILLIS = 1;

    private int delayMillis = DEFAULT_DELAY_MILLIS;
    private boolean toEntryHeld;
    private boolean fromEntryHeld;
    private boolean refused;

    /** Delays all messages by some time in each direction, in ms. */
    void delay(int millis) {
        delayMillis = millis;
    }

    void resetDelay() {
        delayMillis = DEFAULT_DELAY_MILLIS;
    }

    /** Holds back the messages of one or both directions, as a network does that loses packets; 0, 1 or 2. */
    void hold(boolean toEntry, boolean fromEntry) {
        toEntryHeld = toEntry;
        fromEntryHeld = fromEntry;
    }

    /** Resets new connections. */
    void refuse(boolean refusing) {
        refused = refusing;
    }

    int delayMillis() {
        return delayMillis;
    }

    boolean held(boolean toEntry) {
        return toEntry ? toEntryHeld : fromEntryHeld;
    }

    boolean refused() {
        return refused;
    }
}
