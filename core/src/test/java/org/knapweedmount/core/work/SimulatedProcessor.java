package org.knapweedmount.core.work;

import java.util.Optional;

import org.knapweedmount.core.event.EventPriority;
import org.knapweedmount.core.event.PriorityEvents;

/** The processor of a simulated process: events wait for their turn, and each takes time at the process's share of a core. */
final class SimulatedProcessor {
    private final VirtualTime time;
    private double cores;
    private final PriorityEvents<Event> waiting = new PriorityEvents<>();
    private boolean busy;
    private double eventMillis;

    private record Event(double millis, Runnable action) {}

    /**
     * Creates an idle processor.
     *
     * @param cores the share of a core; infinite if events take no time
     */
    SimulatedProcessor(VirtualTime time, double cores) {
        this.time = time;
        this.cores = cores;
    }

    /** Changes the share of a core, from the next event on. */
    void setCores(double share) {
        cores = share;
    }

    /** Runs an event after those that wait with its priority or a higher one; its outputs leave at its beginning. */
    void run(EventPriority priority, double millis, Runnable action) {
        if (Double.isInfinite(cores)) {
            action.run();
            return;
        }
        waiting.add(priority, new Event(millis, action));
        if (!busy) {
            runNext();
        }
    }

    /** Adds processor time to the event that runs, in ms. */
    void use(double millis) {
        eventMillis += millis;
    }

    private void runNext() {
        Optional<Event> next = waiting.poll();
        busy = next.isPresent();
        if (!busy) {
            return;
        }
        Event event = next.get();
        eventMillis = event.millis();
        event.action().run();
        time.after(eventMillis / cores, this::runNext);
    }
}
