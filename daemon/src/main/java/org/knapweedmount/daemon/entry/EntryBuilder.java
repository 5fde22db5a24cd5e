package org.knapweedmount.daemon.entry;

import java.security.SecureRandom;
import java.time.Instant;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.entry.EntryCore;
import org.knapweedmount.core.entry.EntryCounter;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.daemon.http.CallerApi;
import org.knapweedmount.daemon.http.CallerRequestHandler;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.http.HttpLimits;
import org.knapweedmount.daemon.http.PendingRequests;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.metrics.ProcessMetrics;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.runtime.Ticker;
import org.knapweedmount.daemon.settings.EntrySettings;
import org.knapweedmount.daemon.store.ClaimLimits;
import org.knapweedmount.daemon.store.ClaimStore;
import org.knapweedmount.daemon.store.EntryAnnouncement;
import org.knapweedmount.daemon.store.EntryDirectory;
import org.knapweedmount.daemon.store.EntryRow;
import org.knapweedmount.daemon.store.TableClient;
import org.knapweedmount.daemon.store.TableCounter;
import org.knapweedmount.daemon.store.TableLimits;
import org.knapweedmount.daemon.ticket.AuditLog;
import org.knapweedmount.daemon.ticket.OperatorApi;
import org.knapweedmount.daemon.ticket.OperatorTokens;
import org.knapweedmount.daemon.ticket.TicketService;
import org.tinylog.Logger;

/** Creates the components of an entry, connects them and starts them. */
final class EntryBuilder {
    /** The longest wait for a single step of the start, in s. */
    static final long START_TIMEOUT_SECONDS = 20;

    private static final int RING_CAPACITY_EVENTS = 64 * 1024;
    private static final int TICK_INTERVAL_MILLIS = 5;
    private static final int MAX_HTTP_EVENT_LOOPS = 4;
    private static final int MAX_BALANCER_GRACE_MILLIS = 3_000;
    private static final int DRAIN_TO_GRACE_RATIO = 10;
    private static final int MAX_AUDIT_EVENTS = 1_000;

    private final EntrySettings settings;
    private final Vertx vertx;
    private final NanoClock clock;
    private final Runnable exit;
    private final SecureRandom random = new SecureRandom();
    private final EntryCounters counters = EntryCounters.create();
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final Invariants invariants =
            Invariants.counting(statement -> Logger.error("invariant violated: {}", statement));
    private final ProcessLifecycle lifecycle = new ProcessLifecycle(invariants);
    private final AtomicLong appliedNumber = new AtomicLong();
    private final AuditLog audit = new AuditLog(MAX_AUDIT_EVENTS, EntryBuilder::timestamp);
    private final DecisionLoop<EntryModule> loop;
    private final RetryingQueue<EntryModule> retryingQueue;
    private final PendingRequests pending;
    private final HttpLimits httpLimits;

    EntryBuilder(EntrySettings settings, Vertx vertx, NanoClock clock, Runnable exit) {
        this.settings = settings;
        this.vertx = vertx;
        this.clock = clock;
        this.exit = exit;
        this.loop = new DecisionLoop<>("entry-decisions", RING_CAPACITY_EVENTS, clock);
        this.retryingQueue = new RetryingQueue<>(vertx, loop);
        this.httpLimits = HttpLimits.of(
                settings.http().maxBodyBytes(),
                settings.http().maxConnections(),
                settings.http().maxConnectionsPerCaller(),
                settings.limits().maxJobTasks());
        this.pending = new PendingRequests(httpLimits.maxPending(), counters.http());
    }

    EntryProcess build() throws ParseException, ExecutionException, TimeoutException, InterruptedException {
        OperatorTokens tokens = OperatorTokens.read(settings.operators().tokenFile());
        EntryStore store = createStore();
        Readiness readiness = new Readiness(lifecycle, store.tickets()::isLoaded, metrics::scrape);
        EntryDrain drain = new EntryDrain(vertx, lifecycle, retryingQueue, balancerGraceMillis());
        LinkTable<EntryModule> linkTable = linkTable();
        PeerAddress self = listenForLinks(linkTable);
        startDecisions(linkTable, self, store, readiness);
        bindMetrics(linkTable);
        if (!await(store.tickets().start())) {
            Logger.warn("table service did not answer; starting without its configuration");
        }
        settings.peers().forEach(linkTable::dial);
        EntryHttpApis httpApis = httpApis(self, store, readiness, drain, tokens);
        EntryAnnouncement announcement = new EntryAnnouncement(vertx, store.tables(), self);
        EntryDirectory directory = new EntryDirectory(
                vertx,
                store.tables(),
                EntryRow.rowId(self.incarnation()),
                clock::nanos,
                known -> loop.offer((module, nowNanos) -> module.entriesListed(known)));
        store.announce(announcement, directory);
        Ticker<EntryModule> ticker = Ticker.start(vertx, TICK_INTERVAL_MILLIS, loop, EntryModule::tick);
        lifecycle.handle(ProcessEvent.STARTED);
        return new EntryProcess(new EntryComponents(
                settings,
                clock,
                vertx,
                lifecycle,
                self,
                loop,
                ticker,
                linkTable,
                pending,
                drain,
                store,
                announcement,
                directory,
                httpApis));
    }

    /** Reads the wall clock for the audit trail; no decision depends on it. */
    private static String timestamp() {
        return Instant.now().toString();
    }

    private EntryStore createStore() throws ExecutionException, TimeoutException, InterruptedException {
        Context context = await(DedicatedContexts.create(vertx));
        TableClient tables = tableClient(context);
        ClaimStore claims = new ClaimStore(context, tableClient(context), clock::nanos, ClaimLimits.DEFAULT);
        TicketService tickets = new TicketService(
                context,
                tables,
                settings.name(),
                EntryBuilder::timestamp,
                audit,
                (accepted, from) -> retryingQueue.add((module, nowNanos) -> module.apply(accepted, from, nowNanos)),
                invariants);
        return new EntryStore(context, tables, claims, tickets);
    }

    private EntryHttpApis httpApis(
            PeerAddress self, EntryStore store, Readiness readiness, EntryDrain drain, OperatorTokens tokens)
            throws ExecutionException, TimeoutException, InterruptedException {
        StatusWriter status = new StatusWriter(self.incarnation(), readiness, counters);
        OperatorApi operatorApi = new OperatorApi(
                vertx, tokens, store.tickets(), audit, new LocalEntryControl(loop, status, drain, exit));
        int operatorPort = await(operatorApi.listen(
                settings.operators().host(), settings.operators().port()));
        CallerApi callerApi = new CallerApi(
                vertx,
                httpLimits,
                callerRequestQueue(),
                pending,
                new IdempotencyKeyLookup(loop, store.context(), store.claims()),
                readiness,
                counters.http());
        int callerPort =
                await(callerApi.listen(settings.http().host(), settings.http().port(), httpEventLoops()));
        return new EntryHttpApis(callerApi, callerPort, operatorApi, operatorPort);
    }

    private TableClient tableClient(Context storeContext) {
        return new TableClient(
                storeContext,
                settings.platform().host(),
                settings.platform().port(),
                TableLimits.DEFAULT,
                clock::nanos,
                counters.tables());
    }

    private LinkTable<EntryModule> linkTable() {
        Incarnation incarnation = new Incarnation(settings.name(), random.nextLong());
        PeerAddress unbound = new PeerAddress(
                incarnation,
                Role.ENTRY,
                settings.region(),
                settings.dataCentre(),
                settings.links().host(),
                0);
        LinkOptions options = LinkOptions.entry(settings.heartbeatMillis(), random.nextLong());
        return new LinkTable<>(
                vertx, options, unbound, appliedNumber::get, clock, role -> loop, new EntryLinkHandler());
    }

    private PeerAddress listenForLinks(LinkTable<EntryModule> linkTable)
            throws ExecutionException, TimeoutException, InterruptedException {
        return await(linkTable.listen(
                settings.links().host(),
                settings.links().port(),
                settings.links().advertisedPort()));
    }

    private void startDecisions(
            LinkTable<EntryModule> linkTable, PeerAddress self, EntryStore store, Readiness readiness) {
        ConfigState config = new ConfigState();
        Links links = new LinkTableAdapter(linkTable);
        EntryOutputAdapter output =
                new EntryOutputAdapter(links, pending, store.context(), store.claims(), retryingQueue);
        EntryCore core = new EntryCore(
                settings.limits(), self, config, output, counters.submissions(), invariants, random.nextLong());
        ConfigDistributor distributor = new ConfigDistributor(self, config, links, audit, appliedNumber);
        EntryPeers peers = new EntryPeers(self, links);
        loop.start(new EntryModule(core, config, distributor, peers, store.tickets(), readiness, clock.nanos()));
    }

    private void bindMetrics(LinkTable<EntryModule> linkTable) {
        metrics.counters("entry", EntryCounter.class, counters.submissions());
        metrics.counters("http", HttpCounter.class, counters.http());
        metrics.counters("tables", TableCounter.class, counters.tables());
        metrics.gauge("http.pending", "Callers who wait for an answer", pending::size);
        metrics.gauge("config.number", "The highest ticket number in force", appliedNumber::get);
        metrics.invariants(invariants);
        metrics.decisions(loop);
        metrics.links(linkTable);
    }

    /** Returns how long requests are still accepted after a planned stop has begun, for the balancer to notice it. */
    private int balancerGraceMillis() {
        return Math.max(1, Math.min(MAX_BALANCER_GRACE_MILLIS, settings.drainMillis() / DRAIN_TO_GRACE_RATIO));
    }

    private DecisionQueue<CallerRequestHandler> callerRequestQueue() {
        return decision -> loop.offer((module, nowNanos) -> decision.decide(module.callers(), nowNanos));
    }

    private static int httpEventLoops() {
        return Math.min(MAX_HTTP_EVENT_LOOPS, Runtime.getRuntime().availableProcessors());
    }

    private static <T> T await(Future<T> future) throws ExecutionException, TimeoutException, InterruptedException {
        return future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
