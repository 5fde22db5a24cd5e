package org.knapweedmount.daemon.store;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.ConnectionFailureLogger;
import org.tinylog.Logger;

/**
 * Accesses the platform's table service over HTTP.
 *
 * <p>Each request has a timeout, the number of concurrent requests is bounded, and requests fail fast while the service
 * is down. Thread-safe; results arrive on its context.
 */
public final class TableClient implements TableService {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final Context context;
    private final HttpClient client;
    private final TableLimits limits;
    private final LongSupplier nanoClock;
    private final Counters<TableCounter> counters;
    private final CircuitBreaker breaker;

    /**
     * Creates a client without opening connections.
     *
     * @param context the event loop on which results arrive
     * @param host the host of the table service
     * @param port the TCP port of the table service
     * @param limits the limits of the client
     * @param nanoClock returns the time of a monotonic clock, in ns
     * @param counters the counters to increment
     */
    public TableClient(
            Context context,
            String host,
            int port,
            TableLimits limits,
            LongSupplier nanoClock,
            Counters<TableCounter> counters) {
        this.vertx = context.owner();
        this.context = context;
        this.limits = limits;
        this.nanoClock = nanoClock;
        this.counters = counters;
        this.breaker = limits.newCircuitBreaker();
        HttpClientOptions options = new HttpClientOptions()
                .setDefaultHost(host)
                .setDefaultPort(port)
                .setConnectTimeout(limits.readTimeoutMillis());
        PoolOptions pool = new PoolOptions()
                .setHttp1MaxSize(limits.maxConnections())
                .setMaxWaitQueueSize(limits.maxQueuedRequests());
        this.client = vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(ConnectionFailureLogger.INSTANCE)
                .build();
    }

    @Override
    public Future<ReadResult> read(RowId row) {
        counters.increment(TableCounter.READS);
        String uri = "/tables/" + encode(row.table()) + "/rows/" + encode(row.key());
        return exchange(HttpMethod.GET, uri, Buffer.buffer(), limits.readTimeoutMillis())
                .map(result -> readResult(row, result));
    }

    @Override
    public Future<ListResult> list(String table, String after) {
        counters.increment(TableCounter.READS);
        String uri = "/tables/" + encode(table) + "/rows?after=" + encode(after) + "&limit=" + MAX_ROWS_PER_PAGE;
        return exchange(HttpMethod.GET, uri, Buffer.buffer(), limits.readTimeoutMillis())
                .map(result -> listResult(table, result));
    }

    @Override
    public Future<TransactResult> transact(Transaction transaction) {
        counters.increment(TableCounter.TRANSACTIONS);
        Buffer body = TableJson.transaction(transaction);
        return exchange(HttpMethod.POST, "/transactions", body, limits.transactTimeoutMillis())
                .map(this::transactResult);
    }

    private Future<Exchange.Result> exchange(HttpMethod method, String uri, Buffer body, int timeoutMillis) {
        Promise<Exchange.Result> promise = Promise.promise();
        context.runOnContext(ignored -> {
            if (!breaker.allowRequest(nanoClock.getAsLong())) {
                counters.increment(TableCounter.FAILED_FAST);
                promise.complete(new Exchange.Result(Exchange.End.NOT_SENT, 0, Buffer.buffer()));
                return;
            }
            RequestOptions options = new RequestOptions().setMethod(method).setURI(uri);
            new Exchange(vertx)
                    .run(client, options, body, timeoutMillis)
                    .onSuccess(this::recordOutcome)
                    .onSuccess(promise::complete);
        });
        return promise.future();
    }

    private void recordOutcome(Exchange.Result result) {
        if (result.end() == Exchange.End.BUSY) {
            counters.increment(TableCounter.UNAVAILABLE);
            return;
        }
        if (result.end() == Exchange.End.ANSWERED && result.status() < FIRST_SERVER_ERROR) {
            if (breaker.recordSuccess()) {
                Logger.info("the table service is available again");
            }
            return;
        }
        counters.increment(TableCounter.UNAVAILABLE);
        if (breaker.recordFailure(nanoClock.getAsLong())) {
            Logger.warn("the table service is not available: {}", result.end());
        }
    }

    private static ReadResult readResult(RowId row, Exchange.Result result) {
        if (result.status() == NOT_FOUND) {
            return ReadResult.MISSING;
        }
        return parseBody(result, body -> ReadResult.found(TableJson.row(row.table(), body)), ReadResult.UNAVAILABLE);
    }

    private static ListResult listResult(String table, Exchange.Result result) {
        return parseBody(result, body -> new ListResult(true, TableJson.rows(table, body)), ListResult.UNAVAILABLE);
    }

    /** Parses the body of a response. */
    @FunctionalInterface
    private interface BodyParser<T> {
        T parse(Buffer body) throws ParseException;
    }

    private static <T> T parseBody(Exchange.Result result, BodyParser<T> parser, T fallback) {
        if (result.status() != OK) {
            return fallback;
        }
        try {
            return parser.parse(result.body());
        } catch (ParseException e) {
            Logger.error(e, "cannot parse the response of the table service");
            return fallback;
        }
    }

    private TransactResult transactResult(Exchange.Result result) {
        return switch (result.end()) {
            case BUSY, NOT_SENT -> new TransactResult.Unavailable();
            case LOST -> unknownResult();
            case ANSWERED -> answeredResult(result);
        };
    }

    private TransactResult answeredResult(Exchange.Result result) {
        if (result.status() == OK) {
            return new TransactResult.Committed();
        }
        if (result.status() == CONFLICT) {
            return conflictResult(result.body());
        }
        boolean refused = result.status() == UNAVAILABLE || result.status() < FIRST_SERVER_ERROR;
        return refused ? new TransactResult.Unavailable() : unknownResult();
    }

    private TransactResult conflictResult(Buffer body) {
        counters.increment(TableCounter.CONFLICTS);
        try {
            return new TransactResult.Conflict(TableJson.failedRows(body));
        } catch (ParseException e) {
            Logger.error(e, "cannot parse the response of the table service");
            return new TransactResult.Unavailable();
        }
    }

    private TransactResult unknownResult() {
        counters.increment(TableCounter.ANSWERS_LOST);
        return new TransactResult.Unknown();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
