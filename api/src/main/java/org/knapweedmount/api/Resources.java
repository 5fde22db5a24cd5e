package org.knapweedmount.api;

/**
 * What a task needs of a worker, or what a worker has.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMegabytes memory in MB
 * @param accelerators whole accelerators
 */
public record Resources(int milliCores, int memoryMegabytes, int accelerators) {
    /** Needs nothing: the resources of a request to a service, which is limited by slots alone. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if an amount is negative
     */
    public Resources {
        if (milliCores < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resources are not negative");
        }
    }

    /**
     * Tells whether this need fits into what is there.
     *
     * @param available what is there
     * @return true if no amount exceeds the available one
     */
    public boolean fits(Resources available) {
        return milliCores <= available.milliCores
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }

    /**
     * Adds amounts.
     *
     * @param other what is added
     * @return the sums
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Takes amounts away, never going below zero.
     *
     * @param other what is taken away
     * @return the differences, each at least 0
     */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMegabytes - other.memoryMegabytes),
                Math.max(0, accelerators - other.accelerators));
    }

    /**
     * Takes the larger of each amount.
     *
     * @param other what is compared
     * @return the maxima
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMegabytes, other.memoryMegabytes),
                Math.max(accelerators, other.accelerators));
    }
}
