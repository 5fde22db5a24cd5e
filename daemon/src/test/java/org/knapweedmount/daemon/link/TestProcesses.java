package org.knapweedmount.daemon.link;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

/** The processes of a test, closed together. */
final class TestProcesses implements AutoCloseable {
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    private final List<TestProcess> processes = new ArrayList<>();

    Vertx vertx() {
        return vertx;
    }

    TestProcess entry(String name) {
        return register(TestProcess.entry(vertx, name));
    }

    TestProcess entry(String name, LinkOptions options) {
        return register(TestProcess.entry(vertx, name, 0, options));
    }

    TestProcess agent(String name) {
        return register(TestProcess.agent(vertx, name));
    }

    /** Starts an agent and waits until an entry reports the link. */
    TestProcess agentLinkedTo(TestProcess entry) throws InterruptedException {
        TestProcess agent = agent("agent-1");
        agent.links.dial(entry.address());
        entry.awaitEvent(agent.linkedEvent());
        return agent;
    }

    /** Registers a process to be closed with the others. */
    TestProcess register(TestProcess process) {
        processes.add(process);
        return process;
    }

    @Override
    public void close() {
        processes.forEach(TestProcess::close);
        vertx.close().await();
    }
}
