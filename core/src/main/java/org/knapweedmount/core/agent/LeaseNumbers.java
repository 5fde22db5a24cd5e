package org.knapweedmount.core.agent;

/** Allocates lease numbers, each used once per incarnation of the agent. */
final class LeaseNumbers {
    private long next = 1;

    /** Reserves a range of consecutive numbers and returns the first. */
    long reserve(int count) {
        long first = next;
        next += count;
        return first;
    }
}
