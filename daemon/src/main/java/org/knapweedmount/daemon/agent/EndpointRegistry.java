package org.knapweedmount.daemon.agent;

import java.util.Comparator;
import java.util.List;

import io.vertx.core.Context;
import org.knapweedmount.core.agent.EndpointAnnouncement;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.NanoClock;

/**
 * Passes what endpoints tell of themselves to the client that sends them tasks and to the decisions.
 *
 * <p>The client knows an endpoint before the decisions do and as long as they do, so that there is a connection for each
 * task that they start. Used on the event loop; each method returns false if the agent cannot take the request at present.
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

    /** Lists the endpoints that are known, by id. */
    List<EndpointAnnouncement> announcedEndpoints() {
        return client.announcedEndpoints().stream()
                .sorted(Comparator.comparing(EndpointAnnouncement::id))
                .toList();
    }

    /** Counts the tasks that were sent to endpoints and have not ended. */
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
