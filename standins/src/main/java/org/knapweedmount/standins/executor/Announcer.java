package org.knapweedmount.standins.executor;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.tinylog.Logger;

/**
 * Announces an endpoint to its agent and renews the announcement by heartbeats.
 *
 * <p>Must be called on the event loop of the endpoint.
 */
public final class Announcer {
    private static final int HEARTBEATS_PER_TTL = 3;

    private final Vertx vertx;
    private final AgentClient agent;
    private final String endpointId;
    private final Announcement announcement;
    private long timer;
    private boolean announced;

    /**
     * Creates an announcer that sends no heartbeats until it is started.
     *
     * @param vertx the Vert.x instance whose timers are used
     * @param agent the client of the agent
     * @param endpointId the ID of the endpoint
     * @param announcement the announcement to send
     */
    public Announcer(Vertx vertx, AgentClient agent, String endpointId, Announcement announcement) {
        this.vertx = vertx;
        this.agent = agent;
        this.endpointId = endpointId;
        this.announcement = announcement;
    }

    /** Announces the endpoint at once, and then renews the announcement every third of its time to live. */
    public void start() {
        heartbeat();
        int periodMillis = Math.max(1, announcement.ttlMillis() / HEARTBEATS_PER_TTL);
        timer = vertx.setPeriodic(periodMillis, id -> heartbeat());
    }

    /**
     * Stops the heartbeats and withdraws the announcement.
     *
     * @return a future that succeeds once the agent has responded or the request to it has failed
     */
    public Future<Void> withdraw() {
        vertx.cancelTimer(timer);
        return agent.withdraw().otherwise(error -> {
            Logger.warn("{}: could not withdraw the announcement from the agent: {}", endpointId, error.getMessage());
            return null;
        });
    }

    /**
     * Returns whether the agent accepted the last heartbeat.
     *
     * @return true if it was accepted
     */
    public boolean announced() {
        return announced;
    }

    private void heartbeat() {
        agent.announce(announcement).onComplete(result -> {
            if (announced != result.succeeded()) {
                announced = result.succeeded();
                Logger.info("{} {}", endpointId, announced ? "announced" : "heartbeat failed");
            }
        });
    }
}
