package org.knapweedmount.daemon.agent;

import java.util.Comparator;
import java.util.List;

import io.vertx.core.Context;
import org.knapweedmount.core.agent.EndpointAnnouncement;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.NanoClock;

/**
 * Passes announcements and usage reports of endpoints to the client that sends them tasks and to the core.
 *
 * <p>An endpoint is added to the client before it is added to the core and removed from it afterwards, so that the core
 * starts tasks only on endpoints that the client knows. Used on the event loop; a method that returns a boolean returns
 * false if the agent cannot accept the request at present.
 */
final class EndpointRegistry {
    private final Context context;
    private final EndpointClient client;
    private final DecisionQueue<AgentModule> queue;
    private final NanoClock clock;

    EndpointRegistry(Context context, EndpointClient client, DecisionQueue<AgentModule> queue, NanoClock clock) {
        this.context = context;
        this.client = client;
        this.queue = queue;
        this.clock = clock;
    }

    boolean endpointAnnounced(EndpointAnnouncement endpoint) {
        return client.add(endpoint, clock.nanos())
                && queue.offer((module, nowNanos) -> module.core().endpointAnnounced(endpoint, nowNanos));
    }

    /** Lists the current endpoints, sorted by ID. */
    List<EndpointAnnouncement> announcedEndpoints() {
        return client.announcedEndpoints().stream()
                .sorted(Comparator.comparing(EndpointAnnouncement::id))
                .toList();
    }

    /** Returns the number of tasks that were sent to endpoints and have not ended. */
    int runningTasks() {
        return client.runningTasks();
    }

    boolean endpointLeft(String id) {
        return queue.offer((module, nowNanos) -> {
            module.core().endpointLeft(id, nowNanos);
            context.runOnContext(ignored -> client.remove(id));
        });
    }

    boolean usageReported(UsageReport usage) {
        return queue.offer((module, nowNanos) ->
                module.core().usageReported(usage.endpointId(), usage.kind(), usage.usedPerTask(), nowNanos));
    }
}
