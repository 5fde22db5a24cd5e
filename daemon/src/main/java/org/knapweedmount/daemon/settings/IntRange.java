package org.knapweedmount.daemon.settings;

/**
 * The range of integers that a key allows.
 *
 * @param min the smallest allowed number
 * @param max the largest allowed number
 */
record IntRange(int min, int max) {
    static final IntRange LISTEN_PORT = new IntRange(0, HostPort.MAX_PORT);
    static final IntRange PORT = new IntRange(1, HostPort.MAX_PORT);

    boolean contains(long number) {
        return number >= min && number <= max;
    }

    String describe() {
        return "a whole number from " + min + " to " + max;
    }
}
