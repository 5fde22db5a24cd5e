package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.daemon.store.Exchange;
import org.knapweedmount.standins.support.HostPort;

/**
 * The choice of the platform's load balancer: an entry that has missed two probes gets no new connections, unless all have.
 *
 * <p>Confined to one event loop.
 */
final class ReadinessProbes {
    private static final int PROBE_INTERVAL_MILLIS = 1_000;
    private static final int MAX_MISSES = 2;
    private static final int OK = 200;

    private final Vertx vertx;
    private final HttpClient client;
    private final List<HostPort> readiness;
    private final List<Integer> misses = new ArrayList<>();

    ReadinessProbes(Vertx vertx, List<HostPort> readiness) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient();
        this.readiness = List.copyOf(readiness);
        readiness.forEach(entry -> misses.add(0));
    }

    void start() {
        probe();
        vertx.setPeriodic(PROBE_INTERVAL_MILLIS, timer -> probe());
    }

    private void probe() {
        for (int i = 0; i < readiness.size(); i++) {
            int entry = i;
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.GET)
                    .setHost(readiness.get(i).host())
                    .setPort(readiness.get(i).port())
                    .setURI("/api/ready");
            new Exchange(vertx)
                    .run(client, options, Buffer.buffer(), PROBE_INTERVAL_MILLIS)
                    .onSuccess(result -> misses.set(entry, result.status() == OK ? 0 : misses.get(entry) + 1));
        }
    }

    /** Draws the number of an entry for a new connection, from 0. */
    int draw(Random random) {
        List<Integer> ready = IntStream.range(0, misses.size())
                .filter(entry -> misses.get(entry) < MAX_MISSES)
                .boxed()
                .toList();
        return ready.isEmpty() ? random.nextInt(misses.size()) : ready.get(random.nextInt(ready.size()));
    }
}
