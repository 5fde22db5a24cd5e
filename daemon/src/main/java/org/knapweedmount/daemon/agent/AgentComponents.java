package org.knapweedmount.daemon.agent;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.settings.AgentSettings;

/**
 * The components of a running agent that a planned stop uses.
 *
 * @param settings the settings
 * @param clock the monotonic clock
 * @param vertx the event loops
 * @param loop the decision thread
 * @param retryingQueue passes events that must not be lost to the decision thread
 * @param ticker triggers the timed work of the decision thread
 * @param links the links
 * @param finder the discovery of entries
 * @param endpoints the client of the endpoints
 * @param lifecycle the lifecycle state of the agent
 * @param server the HTTP server
 */
record AgentComponents(
        AgentSettings settings,
        NanoClock clock,
        Vertx vertx,
        DecisionLoop<AgentModule> loop,
        RetryingQueue<AgentModule> retryingQueue,
        AdaptiveTicker<AgentModule> ticker,
        LinkTable<AgentModule> links,
        EntryFinder finder,
        EndpointClient endpoints,
        ProcessLifecycle lifecycle,
        HttpServer server) {}
