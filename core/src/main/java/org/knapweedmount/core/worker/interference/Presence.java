package org.knapweedmount.core.worker.interference;

/** For how long runs of each kind were on a worker, and how many cores were in use. */
final class Presence {
    private final int[] runs;
    private final long[] presentNanos;
    private final long[] pairedNanos;
    private int usedMilliCores;
    private int largestUsedMilliCores = 1;
    private double usedNanos;
    private long lastNanos;

    /** The sums at one time. */
    static final class Snapshot {
        private final long nanos;
        private final long[] present;
        private final long[] paired;
        private final double used;

        private Snapshot(Presence sums, long nanos) {
            this.nanos = nanos;
            this.present = sums.presentNanos.clone();
            this.paired = sums.pairedNanos.clone();
            this.used = sums.usedNanos;
        }

        /** Returns when the sums were taken, in ns. */
        long nanos() {
            return nanos;
        }
    }

    Presence(int kinds) {
        this.runs = new int[kinds];
        this.presentNanos = new long[kinds];
        this.pairedNanos = new long[kinds];
    }

    private void advance(long nowNanos) {
        long nanos = Math.max(0, nowNanos - lastNanos);
        lastNanos = nowNanos;
        for (int kind = 0; kind < runs.length; kind++) {
            presentNanos[kind] += runs[kind] > 0 ? nanos : 0;
            pairedNanos[kind] += runs[kind] > 1 ? nanos : 0;
        }
        usedNanos += (double) usedMilliCores / largestUsedMilliCores * nanos;
    }

    /** Adds a run, and returns the sums at its start. */
    Snapshot started(int kind, int milliCores, long nowNanos) {
        advance(nowNanos);
        runs[kind]++;
        usedMilliCores += milliCores;
        largestUsedMilliCores = Math.max(largestUsedMilliCores, usedMilliCores);
        return new Snapshot(this, nowNanos);
    }

    void ended(int kind, int milliCores, long nowNanos) {
        advance(nowNanos);
        runs[kind]--;
        usedMilliCores -= milliCores;
    }

    int runs(int kind) {
        return runs[kind];
    }

    /**
     * Writes for which part of the time since a run's start other runs of each kind were present, after a constant and the
     * mean load.
     */
    void write(double[] values, int ownKind, Snapshot start) {
        double nanos = Math.max(1, lastNanos - start.nanos);
        values[0] = 1;
        values[1] = (usedNanos - start.used) / nanos;
        for (int kind = 0; kind < runs.length; kind++) {
            long present =
                    kind == ownKind ? pairedNanos[kind] - start.paired[kind] : presentNanos[kind] - start.present[kind];
            values[2 + kind] = present / nanos;
        }
    }
}
