package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import org.knapweedmount.core.fleet.MeasuredFlow.Arrival;

/** One queue that knows every slot at once: the bound for every placement of tasks whose run times are not known. */
final class SingleQueue {
    private SingleQueue() {}

    /** Computes the ratios of response time to ideal, which is the run time and the delays. */
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
