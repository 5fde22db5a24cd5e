package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import org.knapweedmount.core.fleet.MeasuredFlow.Arrival;

/** A single queue with perfect knowledge of all slots: the lower bound on latency when run times are unknown. */
final class SingleQueue {
    private SingleQueue() {}

    /** Computes the quantiles of the ratio of response time to ideal time, which is run time plus network delays. */
    static Quantiles ratios(List<Arrival> arrivals, int slots, long delaysNanos) {
        PriorityQueue<Long> freeAt = new PriorityQueue<>();
        for (int slot = 0; slot < slots; slot++) {
            freeAt.add(0L);
        }
        List<Double> ratios = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            long startNanos = Math.max(freeAt.remove(), arrival.atNanos());
            freeAt.add(startNanos + arrival.runNanos());
            double idealNanos = arrival.runNanos() + delaysNanos;
            ratios.add((startNanos - arrival.atNanos() + idealNanos) / idealNanos);
        }
        return Quantiles.of(ratios);
    }
}
