package org.knapweedmount.core.entry;

/**
 * Tracks which of the issued sequence numbers were used, in a window of fixed size that ends at the latest one.
 *
 * <p>Numbers below the window count as used, so that a submission that may have been started is never started again.
 */
final class UsedIds {
    /** The default number of sequence numbers in the window, one bit each. */
    static final int DEFAULT_WINDOW = 1 << 25;

    private final long[] words;
    private final int window;
    private long highest;

    /**
     * Creates an empty window.
     *
     * @param window the number of sequence numbers in the window, a power of two and at least 64
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
