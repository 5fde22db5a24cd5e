package org.knapweedmount.core.dispatch;

import org.knapweedmount.api.Incarnation;

/**
 * The workers that a run of a task is offered first; another sample for each run, without any state.
 *
 * @param seed what the sample is drawn from
 * @param parts the number of parts into which the workers are divided; the sample is one of them
 */
record WorkerSample(int seed, int parts) {
    /** The sample of all workers. */
    static final WorkerSample ALL = new WorkerSample(0, 1);

    /** The workers are divided into a part for so many pairs of entries; three entries, which are three pairs, have one part. */
    private static final int PAIRS_PER_PART = 3;

    private static final int MIX = 0x9E3779B9;

    /**
     * Returns the sample for the next run of a task. The more entries there are, the more of them choose on the same
     * reports, and the smaller the sample is.
     *
     * @param entries the number of entries that order runs from the same workers
     */
    static WorkerSample of(TrackedTask task, int entries) {
        int pairs = entries * (entries - 1) / 2;
        boolean anyWorker = task.step().affinity().isEmpty();
        return anyWorker ? new WorkerSample(task.ref().hashCode(), Math.max(1, pairs / PAIRS_PER_PART)) : ALL;
    }

    boolean hasAll() {
        return parts == 1;
    }

    boolean contains(Incarnation agent) {
        if (hasAll()) {
            return true;
        }
        int mixed = (31 * seed + agent.hashCode()) * MIX;
        mixed = (mixed ^ mixed >>> 16) * MIX;
        return Math.floorMod(mixed ^ mixed >>> 15, parts) == 0;
    }
}
