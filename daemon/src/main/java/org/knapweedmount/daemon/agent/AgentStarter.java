package org.knapweedmount.daemon.agent;

import java.security.SecureRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServer;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.core.agent.AgentCore;
import org.knapweedmount.core.agent.AgentCounter;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.http.HttpLimits;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.metrics.ProcessMetrics;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.ProcessStarter;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.runtime.StartException;
import org.knapweedmount.daemon.settings.AgentSettings;
import org.knapweedmount.daemon.store.TableClient;
import org.knapweedmount.daemon.store.TableCounter;
import org.knapweedmount.daemon.store.TableLimits;
import org.tinylog.Logger;

/** Starts agents. */
public final class AgentStarter implements ProcessStarter<AgentSettings> {
    private static final int RING_SIZE = 4 * 1024;
    private static final int BUSY_TICK_MILLIS = 20;
    private static final int QUIET_TICK_MILLIS = 100;
    private static final long START_SECONDS = 20;
    private static final int MAX_JOB_TASKS = 1;
    private static final TableLimits TABLE_LIMITS = new TableLimits(2_000, 2_000, 1, 4, 5, 500);

    private final NanoClock clock = NanoClock.SYSTEM;
    private final SecureRandom random = new SecureRandom();
    private final Counters<AgentCounter> decided = new Counters<>(AgentCounter.class);
    private final Counters<HttpCounter> requests = new Counters<>(HttpCounter.class);
    private final Counters<TableCounter> tableCounters = new Counters<>(TableCounter.class);
    private final Invariants invariants =
            Invariants.counting(statement -> Logger.error("invariant violated: {}", statement));
    private final ProcessLife life = new ProcessLife(invariants);
    private final ProcessMetrics metrics = new ProcessMetrics();

    /** Creates a starter, which starts one agent. */
    public AgentStarter() {}

    @Override
    public AgentProcess start(AgentSettings settings) throws StartException {
        Vertx vertx = Vertx.vertx(options());
        try {
            return start(settings, vertx);
        } catch (ExecutionException e) {
            vertx.close();
            throw new StartException(
                    "the agent cannot be started: " + e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            vertx.close();
            throw new StartException("the agent did not start in time", e);
        } catch (InterruptedException e) {
            vertx.close();
            Thread.currentThread().interrupt();
            throw new StartException("the start of the agent was interrupted", e);
        }
    }

    private static VertxOptions options() {
        return new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false));
    }

    private AgentProcess start(AgentSettings settings, Vertx vertx)
            throws ExecutionException, TimeoutException, InterruptedException {
        Context context = vertx.getOrCreateContext();
        AtomicLong appliedNumber = new AtomicLong();
        Incarnation incarnation = new Incarnation(settings.name(), random.nextLong());
        PeerAddress self = new PeerAddress(
                incarnation,
                Role.AGENT,
                settings.region(),
                settings.dataCentre(),
                settings.http().host(),
                0);
        DecisionLoop<AgentModule> loop = new DecisionLoop<>("agent-decisions", RING_SIZE, clock);
        LinkOptions options = LinkOptions.agent(settings.heartbeatMillis(), random.nextLong());
        AdaptiveTicker<AgentModule> ticker = ticker(context, loop);
        LinkTable<AgentModule> table =
                new LinkTable<>(vertx, options, self, appliedNumber::get, clock, loop, new AgentLinkHandler(ticker));
        EndpointClient endpoints = new EndpointClient(context, settings.http().maxBodyBytes());
        Links links = Links.of(table);
        ConfigState config = new ConfigState();
        RetryingQueue<AgentModule> results = new RetryingQueue<>(vertx, loop);
        AgentOutputs outputs = new AgentOutputs(links, endpoints, results);
        AgentCore core = new AgentCore(settings.limits(), self, config, outputs, decided, invariants);
        loop.start(new AgentModule(core, config, links, appliedNumber));
        AgentReadiness readiness = new AgentReadiness(life, table::linkCount, metrics::text);
        bindMetrics(loop, table, endpoints);
        HttpServer server = listen(settings, context, readiness, new EndpointRegistry(context, endpoints, loop, clock));
        Logger.info("endpoints are served at {}:{}", settings.http().host(), server.actualPort());
        settings.peers().forEach(table::dial);
        EntryFinder finder = new EntryFinder(vertx, tables(settings, context), clock, table::know, random.nextLong());
        context.runOnContext(ignored -> finder.start());
        ticker.start();
        life.step(ProcessEvent.STARTED);
        return new AgentProcess(
                new AgentParts(settings, clock, vertx, loop, results, ticker, table, finder, endpoints, life, server));
    }

    private static AdaptiveTicker<AgentModule> ticker(Context context, DecisionLoop<AgentModule> loop) {
        return new AdaptiveTicker<>(
                context,
                BUSY_TICK_MILLIS,
                QUIET_TICK_MILLIS,
                loop,
                (module, nowNanos) -> module.core().tick(nowNanos),
                module -> module.core().hasNoPendingWork());
    }

    private HttpServer listen(
            AgentSettings settings, Context context, AgentReadiness readiness, EndpointRegistry registry)
            throws ExecutionException, TimeoutException, InterruptedException {
        HttpLimits limits = HttpLimits.of(
                settings.http().maxBodyBytes(),
                settings.http().maxConnections(),
                settings.http().maxConnectionsPerCaller(),
                MAX_JOB_TASKS);
        AgentApi api = new AgentApi(context, limits, registry, readiness, requests);
        Promise<HttpServer> listening = Promise.promise();
        context.runOnContext(ignored ->
                api.listen(settings.http().host(), settings.http().port()).onComplete(listening));
        return await(listening.future());
    }

    private TableClient tables(AgentSettings settings, Context context) {
        return new TableClient(
                context,
                settings.platform().host(),
                settings.platform().port(),
                TABLE_LIMITS,
                clock::nanos,
                tableCounters);
    }

    private void bindMetrics(DecisionLoop<AgentModule> loop, LinkTable<AgentModule> table, EndpointClient endpoints) {
        metrics.counters("agent", AgentCounter.class, decided);
        metrics.counters("http", HttpCounter.class, requests);
        metrics.counters("tables", TableCounter.class, tableCounters);
        metrics.invariants(invariants);
        metrics.decisions(loop);
        metrics.links(table);
        metrics.gauge("agent.running", "Tasks that were sent to endpoints and have not ended", endpoints::running);
    }

    private static <R> R await(Future<R> future) throws ExecutionException, TimeoutException, InterruptedException {
        return future.toCompletionStage().toCompletableFuture().get(START_SECONDS, TimeUnit.SECONDS);
    }
}
