package org.knapweedmount.standins.relay;

import java.util.concurrent.TimeUnit;

/** The conditions of a relay, which may change at any time; used by many threads. */
final class RelayGate {
    private RelayConditions conditions;

    RelayGate(RelayConditions conditions) {
        this.conditions = conditions;
    }

    synchronized RelayConditions conditions() {
        return conditions;
    }

    synchronized void change(RelayConditions newConditions) {
        conditions = newConditions;
        notifyAll();
    }

    /** Waits until connections are not held back. */
    synchronized void awaitPassing() throws InterruptedException {
        while (conditions.mode() == RelayMode.STALL) {
            wait();
        }
    }

    long delayNanos() {
        return TimeUnit.MICROSECONDS.toNanos(conditions().delayMicros());
    }
}
