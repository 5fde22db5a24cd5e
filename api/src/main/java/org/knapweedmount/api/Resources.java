package org.knapweedmount.api;

/**
 * The resources that a task needs or that a worker provides.
 *
 * @param milliCores processor time, in thousandths of a core
 * @param memoryMegabytes memory, in MB
 * @param accelerators the number of accelerators
 */
public record Resources(int milliCores, int memoryMegabytes, int accelerators) {
    /** No resources; requests to a service use this value because they are limited only by slots. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Checks that no amount is negative.
     *
     * @throws IllegalArgumentException if an amount is negative
     */
    public Resources {
        if (milliCores < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException("resource amounts must not be negative, got milliCores " + milliCores
                    + ", memoryMegabytes " + memoryMegabytes + ", accelerators " + accelerators);
        }
    }

    /**
     * Returns whether these resources fit into available ones.
     *
     * @param available the available resources
     * @return true if no amount exceeds the available one
     */
    public boolean fits(Resources available) {
        return milliCores <= available.milliCores
                && memoryMegabytes <= available.memoryMegabytes
                && accelerators <= available.accelerators;
    }

    /**
     * Adds resources.
     *
     * @param other the resources to add
     * @return the sums
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts resources; amounts that would be negative become 0.
     *
     * @param other the resources to subtract
     * @return the differences, each at least 0
     */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMegabytes - other.memoryMegabytes),
                Math.max(0, accelerators - other.accelerators));
    }

    /**
     * Returns the larger of each pair of amounts.
     *
     * @param other the resources to compare with
     * @return the maxima
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMegabytes, other.memoryMegabytes),
                Math.max(accelerators, other.accelerators));
    }
}
