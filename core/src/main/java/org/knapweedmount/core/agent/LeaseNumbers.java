package org.knapweedmount.core.agent;

/** Numbers of leases, each used once in the life of the agent. */
final class LeaseNumbers {
    private long next = 1;

    /** Sets numbers without a gap aside and returns the first. */
    long reserve(int count) {
        long first = next;
        next += count;
        return first;
    }
}
