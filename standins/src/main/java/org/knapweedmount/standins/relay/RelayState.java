package org.knapweedmount.standins.relay;

import java.util.concurrent.TimeUnit;

/** The conditions of a relay, which may change at any time; used by many threads. */
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

    /** Waits until connections are not held back. */
    synchronized void awaitNotStalled() throws InterruptedException {
        while (conditions.mode() == RelayMode.STALL) {
            wait();
        }
    }

    long delayNanos() {
        return TimeUnit.MICROSECONDS.toNanos(conditions().delayMicros());
    }
}
