package org.knapweedmount.daemon.agent;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.agent.AgentOutput;
import org.knapweedmount.daemon.runtime.RetryingQueue;

/** Executes the outputs of the core: sends messages over the links and tasks to the endpoints. */
final class AgentOutputAdapter implements AgentOutput {
    private final Links links;
    private final EndpointClient endpoints;
    private final RetryingQueue<AgentModule> retryingQueue;

    AgentOutputAdapter(Links links, EndpointClient endpoints, RetryingQueue<AgentModule> retryingQueue) {
        this.links = links;
        this.endpoints = endpoints;
        this.retryingQueue = retryingQueue;
    }

    @Override
    public void send(Incarnation entry, Message message) {
        links.send(entry, message);
    }

    @Override
    public void start(String endpoint, TaskId task, TaskSpec spec) {
        endpoints.start(
                endpoint,
                task,
                spec,
                result -> retryingQueue.add((module, nowNanos) -> module.core().taskEnded(task, result, nowNanos)));
    }

    @Override
    public void stop(String endpoint, TaskId task) {
        endpoints.stop(endpoint, task);
    }
}
