package org.knapweedmount.core.entry;

/**
 * Remembers which of the issued sequence numbers were used, in a window of fixed size behind the latest one.
 *
 * <p>Numbers that have left the window count as used, so that nothing that may have been started is started again.
 */
final class UsedIds {
    /** The number of sequence numbers that are remembered, one bit each. */
    static final int DEFAULT_WINDOW = 1 << 25;

    private final long[] words;
    private final int window;
    private long highest;

    /**
     * Creates an empty window.
     *
     * @param window the number of sequence numbers remembered, a power of two and at least 64
     */
    UsedIds(int window) {
        this.window = window;
        this.words = new long[window / Long.SIZE];
    }

    /** Extends the window to a sequence number that has just been issued. */
    void addIssued(long sequence) {
        highest = sequence;
        words[wordIndex(sequence)] &= ~bitMask(sequence);
    }

    boolean isUsed(long sequence) {
        return sequence <= highest - window || (words[wordIndex(sequence)] & bitMask(sequence)) != 0;
    }

    void markUsed(long sequence) {
        if (sequence > highest - window) {
            words[wordIndex(sequence)] |= bitMask(sequence);
        }
    }

    private int wordIndex(long sequence) {
        return (int) (sequence % window) / Long.SIZE;
    }

    private static long bitMask(long sequence) {
        return 1L << (sequence % Long.SIZE);
    }
}
