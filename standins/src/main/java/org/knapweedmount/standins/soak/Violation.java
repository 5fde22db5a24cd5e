package org.knapweedmount.standins.soak;

/**
 * A broken rule.
 *
 * @param rule the rule
 * @param millis the time since the start of the soak, in ms
 * @param detail the runs or answers that break it
 */
public record Violation(Rule rule, long millis, String detail) {
    /** The rules that hold whatever fails. */
    public enum Rule {
        /** A task has two runs at the same time. */
        TWICE,
        /** The runs of a worker need more than its capacity. */
        LIMIT,
        /** A task runs on long after the last caller of its job has left. */
        UNASKED,
        /** A task runs although each attempt to submit its job was answered "not run". */
        REFUSED,
        /** A job is answered completed before each of its tasks has ended done. */
        MIXED,
        /**
         * A request that was wholly sent ends without a whole answer because its entry stops as planned, or is given up
         * although it was sent long after the stop began.
         */
        LOST,
        /** Requests to entries without any fault end without an answer while another entry lacks processor time. */
        HELD_UP,
        /** A worker refuses each call of its agent for long, or is ready and has accepted none for as long after the faults. */
        CLOSED,
        /** A run starts in a data centre although the order to close it was confirmed long before. */
        EVACUATED
    }
}
