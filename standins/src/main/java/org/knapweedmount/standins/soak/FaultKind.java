package org.knapweedmount.standins.soak;

/** The faults of a soak; the weight is how often a kind is drawn. */
enum FaultKind {
    /** SIGKILL of one entry or agent, which is started again after the fault's time. */
    KILL(10),
    /** SIGTERM of one entry or agent; started again after it has ended. */
    PLANNED_STOP(6),
    /** SIGSTOP of one entry or agent, and SIGCONT after the fault's time. */
    FREEZE(16),
    /** SIGKILL of all processes. */
    KILL_ALL(1),
    /** Versions of the configuration in series. */
    CONFIG(3),
    /** A worker crashes and is back under the same ID. */
    WORKER_CRASH_SAME_ID(8),
    /** A worker crashes and is back under another ID. */
    WORKER_CRASH_NEW_ID(5),
    /** A worker gives notice, ends and is back under another ID. */
    WORKER_LEAVE(4),
    /** The runs that a worker starts take longer. */
    WORKER_SLOW(4),
    /** Some orders to one worker are executed late and without an answer. */
    LATE_ORDERS(6),
    /** Some answers of one worker are lost. */
    LOST_ANSWERS(6),
    /** Some callers disconnect early. */
    ABANDONED(4),
    /** More jobs than usual. */
    BURST(4),
    /** All bytes between an entry and its callers are held back, and passed on late. */
    CALLERS_SILENT(8),
    /** Half of the connections of an entry are reset at once, those of callers and those to other processes. */
    CONNECTIONS_RESET(12),
    /** The links of a process are reset. */
    LINK_RESET(14),
    /** Links of a process are reset, and new ones too until the fault's time is over. */
    LINK_CUT(6),
    /** The messages on links of a process are held back in both directions, and passed on late. */
    LINK_SILENCE(6),
    /** The messages on links of a process are held back in one direction, and passed on late. */
    LINK_ONE_WAY(6),
    /** The messages on links of a process take longer. */
    LINK_DELAY(5);

    private final int weight;

    FaultKind(int weight) {
        this.weight = weight;
    }

    int weight() {
        return weight;
    }
}
