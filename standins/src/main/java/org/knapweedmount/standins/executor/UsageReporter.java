package org.knapweedmount.standins.executor;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import org.knapweedmount.api.Resources;

/**
 * Reports to the agent what the tasks of each kind take, some time after they were started.
 *
 * <p>Used on the event loop of its endpoint.
 */
public final class UsageReporter {
    private final Vertx vertx;
    private final AgentClient agent;
    private final int lagMillis;
    private final Map<String, Resources> unreported = new HashMap<>();

    /**
     * Creates a reporter.
     *
     * @param vertx whose timers are used
     * @param agent the agent
     * @param lagMillis the time from a start to its report, in ms
     */
    public UsageReporter(Vertx vertx, AgentClient agent, int lagMillis) {
        this.vertx = vertx;
        this.agent = agent;
        this.lagMillis = lagMillis;
    }

    /**
     * Notes the start of a task.
     *
     * @param task what the task asks for
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
