package org.knapweedmount.standins.relay;

import java.util.concurrent.TimeUnit;

/** The current network conditions of a relay, which may change at any time; thread-safe. */
final class RelayState {
    private RelayConditions conditions;

    RelayState(RelayConditions conditions) {
        this.conditions = conditions;
    }

    synchronized RelayConditions conditions() {
        return conditions;
    }

    synchronized void update(RelayConditions newConditions) {
        conditions = newConditions;
        notifyAll();
    }

    /** Blocks while connections are stalled. */
    synchronized void awaitNotStalled() throws InterruptedException {
        while (conditions.mode() == RelayMode.STALL) {
            wait();
        }
    }

    long delayNanos() {
        return TimeUnit.MICROSECONDS.toNanos(conditions().delayMicros());
    }
}
