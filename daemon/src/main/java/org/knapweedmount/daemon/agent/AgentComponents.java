package org.knapweedmount.daemon.agent;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.settings.AgentSettings;

/**
 * The parts of a running agent that a planned stop needs.
 *
 * @param settings the settings
 * @param clock the clock
 * @param vertx the event loops
 * @param loop the decision thread
 * @param retryingQueue passes events to the decision thread that must not be lost
 * @param ticker the timer of the decisions
 * @param links the links
 * @param finder the search for entries
 * @param endpoints the requests to endpoints
 * @param life where the agent stands
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
        ProcessLife life,
        HttpServer server) {}
