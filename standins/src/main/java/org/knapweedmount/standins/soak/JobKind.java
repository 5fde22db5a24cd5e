package org.knapweedmount.standins.soak;

import java.util.Random;

/** The kinds of jobs that callers send, each with its own queue. */
enum JobKind {
    BALANCE("balance", 8, 86, 0, 0.24),
    CHARGE("charge", 4, 1_286, 2, 0.05),
    RECEIPT("receipt", 2, 286, 1, 0.71);

    static final String HOST = "soak.example";

    private final String queue;
    private final int tasks;
    private final int meanRunMillis;
    private final int priority;
    private final double share;

    JobKind(String queue, int tasks, int meanRunMillis, int priority, double share) {
        this.queue = queue;
        this.tasks = tasks;
        this.meanRunMillis = meanRunMillis;
        this.priority = priority;
        this.share = share;
    }

    static JobKind draw(Random random) {
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

    int priority() {
        return priority;
    }
}
