package org.knapweedmount.standins.executor;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import org.knapweedmount.api.Resources;

/**
 * Reports the resource usage of each task kind to the agent, with a delay after the start of a task.
 *
 * <p>Must be called on the event loop of the endpoint.
 */
public final class UsageReporter {
    private final Vertx vertx;
    private final AgentClient agent;
    private final int lagMillis;
    private final Map<String, Resources> unreported = new HashMap<>();

    /**
     * Creates a reporter.
     *
     * @param vertx the Vert.x instance whose timers are used
     * @param agent the client of the agent
     * @param lagMillis the time from the start of a task to the report of its usage, in ms
     */
    public UsageReporter(Vertx vertx, AgentClient agent, int lagMillis) {
        this.vertx = vertx;
        this.agent = agent;
        this.lagMillis = lagMillis;
    }

    /**
     * Records the usage of a task that was started, to be reported after the delay.
     *
     * @param task the parameters of the task
     */
    public void recordStart(TaskParameters task) {
        if (task.kind().isEmpty() || task.use().equals(Resources.NONE)) {
            return;
        }
        Resources earlier = unreported.put(task.kind(), task.use());
        if (earlier == null) {
            vertx.setTimer(lagMillis, timer -> report(task.kind()));
            return;
        }
        unreported.merge(task.kind(), earlier, Resources::max);
    }

    private void report(String kind) {
        agent.reportUsage(kind, unreported.remove(kind));
    }
}
