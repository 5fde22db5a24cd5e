package org.knapweedmount.standins.executor;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.tinylog.Logger;

/**
 * Keeps an endpoint announced to its agent by heartbeats.
 *
 * <p>Used on the event loop of its endpoint.
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
     * Creates an announcer that has not announced anything.
     *
     * @param vertx whose timers are used
     * @param agent the agent
     * @param endpointId the id of the endpoint
     * @param announcement what the endpoint offers
     */
    public Announcer(Vertx vertx, AgentClient agent, String endpointId, Announcement announcement) {
        this.vertx = vertx;
        this.agent = agent;
        this.endpointId = endpointId;
        this.announcement = announcement;
    }

    /** Announces the endpoint now and then at a third of its time to live. */
    public void start() {
        heartbeat();
        int periodMillis = Math.max(1, announcement.ttlMillis() / HEARTBEATS_PER_TTL);
        timer = vertx.setPeriodic(periodMillis, id -> heartbeat());
    }

    /**
     * Ends the heartbeats and tells the agent that the endpoint leaves.
     *
     * @return done once the agent has answered or could not be reached
     */
    public Future<Void> withdraw() {
        vertx.cancelTimer(timer);
        return agent.withdraw().otherwise(error -> {
            Logger.warn("{} leaves without an answer of its agent: {}", endpointId, error.getMessage());
            return null;
        });
    }

    /**
     * Tells whether the agent answered the last heartbeat.
     *
     * @return true if it did
     */
    public boolean announced() {
        return announced;
    }

    private void heartbeat() {
        agent.announce(announcement).onComplete(result -> {
            if (announced != result.succeeded()) {
                announced = result.succeeded();
                Logger.info("{} {}", endpointId, announced ? "announced" : "lost its agent");
            }
        });
    }
}
