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
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.ProcessStarter;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.runtime.StartException;
import org.knapweedmount.daemon.settings.AgentSettings;
import org.knapweedmount.daemon.store.TableClient;
import org.knapweedmount.daemon.store.TableCounter;
import org.knapweedmount.daemon.store.TableLimits;
import org.tinylog.Logger;

/** Starts an agent from its settings. */
public final class AgentStarter implements ProcessStarter<AgentSettings> {
    private static final int RING_CAPACITY_EVENTS = 4 * 1024;
    private static final int BUSY_TICK_INTERVAL_MILLIS = 20;
    private static final int IDLE_TICK_INTERVAL_MILLIS = 100;
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final int MAX_JOB_TASKS = 1; // required by the limits; agents accept no jobs
    private static final TableLimits TABLE_LIMITS = new TableLimits(2_000, 2_000, 1, 4, 5, 500);

    private final NanoClock clock = NanoClock.SYSTEM;
    private final SecureRandom random = new SecureRandom();
    private final Counters<AgentCounter> agentCounters = new Counters<>(AgentCounter.class);
    private final Counters<HttpCounter> httpCounters = new Counters<>(HttpCounter.class);
    private final Counters<TableCounter> tableCounters = new Counters<>(TableCounter.class);
    private final Invariants invariants =
            Invariants.counting(statement -> Logger.error("invariant violated: {}", statement));
    private final ProcessLifecycle lifecycle = new ProcessLifecycle(invariants);
    private final ProcessMetrics metrics = new ProcessMetrics();

    /** Creates a starter of a single agent. */
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
            throw new StartException(
                    "a step of the start of the agent took longer than " + START_TIMEOUT_SECONDS + " s", e);
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
        DecisionLoop<AgentModule> loop = new DecisionLoop<>("agent-decisions", RING_CAPACITY_EVENTS, clock);
        LinkOptions options = LinkOptions.agent(settings.heartbeatMillis(), random.nextLong());
        AdaptiveTicker<AgentModule> ticker = ticker(context, loop);
        LinkTable<AgentModule> linkTable = new LinkTable<>(
                vertx, options, self, appliedNumber::get, clock, role -> loop, new AgentLinkHandler(ticker));
        EndpointClient endpoints = new EndpointClient(context, settings.http().maxBodyBytes());
        Links links = Links.of(linkTable);
        ConfigState config = new ConfigState();
        RetryingQueue<AgentModule> retryingQueue = new RetryingQueue<>(vertx, loop);
        AgentOutputAdapter output = new AgentOutputAdapter(links, endpoints, retryingQueue);
        AgentCore core = new AgentCore(settings.limits(), self, config, output, agentCounters, invariants);
        loop.start(new AgentModule(core, config, links, appliedNumber));
        AgentReadiness readiness = new AgentReadiness(lifecycle, linkTable::linkCount, metrics::scrape);
        bindMetrics(loop, linkTable, endpoints);
        HttpServer server = listen(settings, context, readiness, new EndpointRegistry(context, endpoints, loop, clock));
        Logger.info("endpoints are served at {}:{}", settings.http().host(), server.actualPort());
        settings.peers().forEach(linkTable::dial);
        EntryFinder finder =
                new EntryFinder(vertx, tables(settings, context), clock, linkTable::addKnownEntry, random.nextLong());
        context.runOnContext(ignored -> finder.start());
        ticker.start();
        lifecycle.handle(ProcessEvent.STARTED);
        return new AgentProcess(new AgentComponents(
                settings, clock, vertx, loop, retryingQueue, ticker, linkTable, finder, endpoints, lifecycle, server));
    }

    private static AdaptiveTicker<AgentModule> ticker(Context context, DecisionLoop<AgentModule> loop) {
        return new AdaptiveTicker<>(
                context,
                BUSY_TICK_INTERVAL_MILLIS,
                IDLE_TICK_INTERVAL_MILLIS,
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
        AgentApi api = new AgentApi(context, limits, registry, readiness, httpCounters);
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
        metrics.counters("agent", AgentCounter.class, agentCounters);
        metrics.counters("http", HttpCounter.class, httpCounters);
        metrics.counters("tables", TableCounter.class, tableCounters);
        metrics.invariants(invariants);
        metrics.decisions(loop);
        metrics.links(table);
        metrics.gauge("agent.running", "Tasks that were sent to endpoints and have not ended", endpoints::runningTasks);
    }

    private static <R> R await(Future<R> future) throws ExecutionException, TimeoutException, InterruptedException {
        return future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
