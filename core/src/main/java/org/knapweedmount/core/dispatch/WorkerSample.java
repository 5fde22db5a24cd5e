package org.knapweedmount.core.dispatch;

import org.knapweedmount.api.Incarnation;

/**
 * The workers that a run of a task is offered first; another sample for each run, without any state.
 *
 * @param seed what the sample is drawn from
 * @param divisor the number of workers for each one in the sample
 */
record WorkerSample(int seed, int divisor) {
    /** The sample of all workers. */
    static final WorkerSample ALL = new WorkerSample(0, 1);

    /** The pairs of entries for each worker that is left out beside one in the sample; three entries leave out none. */
    private static final int PAIRS_PER_STEP = 3;

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
        return anyWorker ? new WorkerSample(task.ref().hashCode(), Math.max(1, pairs / PAIRS_PER_STEP)) : ALL;
    }

    boolean hasAll() {
        return divisor == 1;
    }

    boolean contains(Incarnation agent) {
        if (hasAll()) {
            return true;
        }
        int mixed = (31 * seed + agent.hashCode()) * MIX;
        mixed = (mixed ^ mixed >>> 16) * MIX;
        return Math.floorMod(mixed ^ mixed >>> 15, divisor) == 0;
    }
}
