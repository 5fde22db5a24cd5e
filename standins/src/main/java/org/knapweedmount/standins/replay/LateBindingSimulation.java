package org.knapweedmount.standins.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates batch sampling with late binding for jobs of one task.
 *
 * <p>A slot that reaches a reservation requests the task from the entry and is idle for the round trip; if another
 * executor already has the task, the slot continues with the next reservation. The algorithm is that of Ousterhout et
 * al., "Sparrow: Distributed, Low Latency Scheduling", SOSP 2013, with two probes per task.
 */
final class LateBindingSimulation {
    private static final int PROBES_PER_TASK = 2;
    private static final long NOT_ENDED = -1;

    private final Fleet fleet;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Deque<Integer>> reservations = new ArrayList<>();
    private final int[] freeSlots;
    private long order;

    /** An event at an executor: a reservation arrives (task of 0 or above) or a slot becomes free (task of -1). */
    private record Event(long atMicros, long order, int executor, int task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    LateBindingSimulation(Fleet fleet, Random random) {
        this.fleet = fleet;
        this.random = random;
        this.freeSlots = new int[fleet.executors()];
        for (int index = 0; index < fleet.executors(); index++) {
            reservations.add(new ArrayDeque<>());
            freeSlots[index] = fleet.slots();
        }
    }

    long[] responseTimes(List<Arrival> arrivals) {
        for (int task = 0; task < arrivals.size(); task++) {
            probe(task, arrivals.get(task).arrivalMicros() + fleet.oneWayMicros());
        }
        long[] ends = new long[arrivals.size()];
        Arrays.fill(ends, NOT_ENDED);
        while (!events.isEmpty()) {
            handle(events.remove(), arrivals, ends);
        }
        long[] responses = new long[ends.length];
        for (int task = 0; task < ends.length; task++) {
            responses[task] =
                    ends[task] + fleet.oneWayMicros() - arrivals.get(task).arrivalMicros();
        }
        return responses;
    }

    private void probe(int task, long atMicros) {
        for (int probe = 0; probe < PROBES_PER_TASK; probe++) {
            events.add(new Event(atMicros, order++, random.nextInt(fleet.executors()), task));
        }
    }

    private void handle(Event event, List<Arrival> arrivals, long[] ends) {
        if (event.task >= 0) {
            reservations.get(event.executor).add(event.task);
        } else {
            freeSlots[event.executor]++;
        }
        while (freeSlots[event.executor] > 0
                && !reservations.get(event.executor).isEmpty()) {
            serveNextReservation(event.executor, event.atMicros, arrivals, ends);
        }
    }

    private void serveNextReservation(int executor, long atMicros, List<Arrival> arrivals, long[] ends) {
        int task = reservations.get(executor).remove();
        long boundMicros = atMicros + 2 * fleet.oneWayMicros();
        long freeMicros = boundMicros;
        if (ends[task] == NOT_ENDED) {
            freeMicros = boundMicros + arrivals.get(task).runMicros();
            ends[task] = freeMicros;
        }
        freeSlots[executor]--;
        events.add(new Event(freeMicros, order++, executor, -1));
    }
}
