package org.knapweedmount.standins.soak;

import java.util.Random;

/** The kinds of jobs that callers send, each with its own queue. */
enum JobKind {
    BALANCE("balance", 8, 86, 3_100, 0, 0.24),
    CHARGE("charge", 4, 1_286, 3_100, 2, 0.05),
    RECEIPT("receipt", 2, 286, 3_100, 1, 0.68),
    /** Runs that last so long that those which nobody waits for are noticed. */
    AUDIT("audit", 2, 14_000, 400, 1, 0.03),
    /** Jobs whose callers wait so long that they send them again while the first runs go on; only beside aimed series. */
    REPORT("report", 2, 4_000, 100, 1, 0);

    static final String HOST = "soak.example";

    private static final double LEAVING_SHARE = 0.5;
    private static final double CANCELLED_SHARE = 0.4;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int LONG_DEADLINE_MILLIS = 25_000;
    private static final int REPORT_DEADLINE_MILLIS = 12_000;
    private static final double REPORT_SHARE = 0.15;

    private final String queue;
    private final int tasks;
    private final int meanRunMillis;
    private final int meanMilliCores;
    private final int priority;
    private final double share;

    JobKind(String queue, int tasks, int meanRunMillis, int meanMilliCores, int priority, double share) {
        this.queue = queue;
        this.tasks = tasks;
        this.meanRunMillis = meanRunMillis;
        this.meanMilliCores = meanMilliCores;
        this.priority = priority;
        this.share = share;
    }

    /** Draws the kind of a job; beside aimed series, some jobs are reports. */
    static JobKind draw(Random random, FaultSeries series) {
        if (series != FaultSeries.NONE && random.nextDouble() < REPORT_SHARE) {
            return REPORT;
        }
        double drawn = random.nextDouble();
        for (JobKind kind : values()) {
            drawn -= kind.share;
            if (drawn < 0) {
                return kind;
            }
        }
        return RECEIPT;
    }

    String queue() {
        return queue;
    }

    String pathPrefix() {
        return "/" + queue + "/";
    }

    int tasks() {
        return tasks;
    }

    int meanRunMillis() {
        return meanRunMillis;
    }

    int meanMilliCores() {
        return meanMilliCores;
    }

    /** Returns how long callers wait, in ms. */
    int deadlineMillis() {
        return switch (this) {
            case AUDIT -> LONG_DEADLINE_MILLIS;
            case REPORT -> REPORT_DEADLINE_MILLIS;
            default -> DEADLINE_MILLIS;
        };
    }

    /** Returns the share of the callers without an answer that do not send their job again. */
    double leavingShare() {
        return this == AUDIT ? LEAVING_SHARE : 0;
    }

    /** Returns the share of the jobs that their callers cancel. */
    double cancelledShare() {
        return this == AUDIT ? CANCELLED_SHARE : 0;
    }

    int priority() {
        return priority;
    }
}
