package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.daemon.store.Exchange;
import org.knapweedmount.standins.support.HostPort;

/**
 * Connections of callers, each of which stays with its entry until that closes it.
 *
 * <p>Confined to one event loop.
 */
final class KeptConnections implements JobSender {
    private static final double NEW_CONNECTION_SHARE = 0.1;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final LongSupplier clockMillis;
    private final RunHistory history;
    private final PlannedStops stops;
    private final List<HostPort> entries;
    private final ReadinessProbes probes;
    private final Random random;
    private final List<Connection> idle = new ArrayList<>();

    private record Connection(int entry, HttpClientConnection http) {}

    KeptConnections(
            Vertx vertx,
            LongSupplier clockMillis,
            RunHistory history,
            PlannedStops stops,
            List<HostPort> entries,
            ReadinessProbes probes,
            Random random) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient();
        this.clockMillis = clockMillis;
        this.history = history;
        this.stops = stops;
        this.entries = List.copyOf(entries);
        this.probes = probes;
        this.random = random;
    }

    @Override
    public Future<Exchange.Result> send(
            int ignored, String job, RequestOptions options, Buffer body, int timeoutMillis) {
        if (!idle.isEmpty() && random.nextDouble() >= NEW_CONNECTION_SHARE) {
            Connection kept = idle.remove(random.nextInt(idle.size()));
            return exchange(kept, job, options, body, timeoutMillis);
        }
        int entry = probes.draw(random);
        HostPort address = entries.get(entry);
        HttpConnectOptions connect = new HttpConnectOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setConnectTimeout(timeoutMillis);
        return client.connect(connect)
                .map(http -> Optional.of(opened(entry, http)))
                .otherwise(failure -> Optional.empty())
                .compose(opened -> opened.isPresent()
                        ? exchange(opened.get(), job, options, body, timeoutMillis)
                        : Future.succeededFuture(new Exchange.Result(Exchange.End.NOT_SENT, 0, Buffer.buffer())));
    }

    private Connection opened(int entry, HttpClientConnection http) {
        Connection connection = new Connection(entry, http);
        http.closeHandler(closed -> idle.remove(connection));
        return connection;
    }

    private Future<Exchange.Result> exchange(
            Connection connection, String job, RequestOptions options, Buffer body, int timeoutMillis) {
        long sentMillis = clockMillis.getAsLong();
        PlannedStops.Request request = new PlannedStops.Request(job, "entry-" + (connection.entry() + 1), sentMillis);
        return new Exchange(vertx)
                .run(connection.http(), options, body, timeoutMillis)
                .onSuccess(result -> {
                    long millis = clockMillis.getAsLong();
                    boolean timedOut = millis - sentMillis >= timeoutMillis;
                    end(result, timedOut)
                            .flatMap(end -> stops.check(request, end, millis))
                            .ifPresent(history::add);
                    if (result.end() == Exchange.End.ANSWERED) {
                        idle.add(connection);
                    }
                });
    }

    private static Optional<PlannedStops.End> end(Exchange.Result result, boolean timedOut) {
        return switch (result.end()) {
            case ANSWERED -> Optional.of(new PlannedStops.End.Answered(result.status()));
            case LOST -> Optional.of(timedOut ? new PlannedStops.End.Left() : new PlannedStops.End.Closed());
            case BUSY, NOT_SENT -> Optional.empty();
        };
    }
}
