package org.knapweedmount.daemon.http;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.metric.Counters;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class ConnectionLimitTest {
    private final Counters<HttpCounter> counters = new Counters<>(HttpCounter.class);
    private final ConnectionLimit limit = new ConnectionLimit(1, counters);

    /** A connection that notes which methods were called. */
    private static final class FakeConnection {
        private final List<String> calls = new ArrayList<>();
        private Handler<Void> closeHandler;

        private HttpConnection connection() {
            return (HttpConnection) Proxy.newProxyInstance(
                    getClass().getClassLoader(), new Class<?>[] {HttpConnection.class}, (proxy, method, arguments) -> {
                        calls.add(method.getName());
                        if (method.getName().equals("closeHandler")) {
                            closeHandler = castHandler(arguments[0]);
                        }
                        return null;
                    });
        }

        @SuppressWarnings("unchecked")
        private static Handler<Void> castHandler(Object handler) {
            return (Handler<Void>) handler;
        }
    }

    @Test
    void connectionBeyondTheLimitIsClosed() {
        FakeConnection first = new FakeConnection();
        FakeConnection second = new FakeConnection();

        limit.handle(first.connection());
        limit.handle(second.connection());

        assertThat(first.calls, not(hasItem("close")));
        assertThat(second.calls, hasItem("close"));
        assertThat(counters.value(HttpCounter.CONNECTIONS_REFUSED), is(1L));
    }

    @Test
    void closedConnectionMakesRoom() {
        FakeConnection first = new FakeConnection();
        FakeConnection second = new FakeConnection();

        limit.handle(first.connection());
        first.closeHandler.handle(null);
        limit.handle(second.connection());

        assertThat(second.calls, not(hasItem("close")));
    }

    @Test
    void failuresOfConnectionsAreNotLeftToTheLibrary() {
        FakeConnection connection = new FakeConnection();

        ConnectionFailures.INSTANCE.handle(connection.connection());

        assertThat(connection.calls, contains("exceptionHandler"));
    }
}
