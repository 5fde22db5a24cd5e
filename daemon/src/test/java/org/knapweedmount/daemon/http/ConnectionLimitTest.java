package org.knapweedmount.daemon.http;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.metric.Counters;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class ConnectionLimitTest {
    private final Counters<HttpCounter> counters = new Counters<>(HttpCounter.class);
    private final ConnectionLimit limit = new ConnectionLimit(2, 1, counters);

    /** A connection that records the names of the called methods. */
    private static final class FakeConnection {
        private final List<String> calls = new ArrayList<>();
        private final String caller;
        private Handler<Void> closeHandler;

        private FakeConnection(String caller) {
            this.caller = caller;
        }

        private HttpConnection connection() {
            return (HttpConnection) Proxy.newProxyInstance(
                    getClass().getClassLoader(), new Class<?>[] {HttpConnection.class}, (proxy, method, arguments) -> {
                        calls.add(method.getName());
                        if (method.getName().equals("closeHandler")) {
                            closeHandler = castHandler(arguments[0]);
                        }
                        boolean address = method.getName().equals("remoteAddress");
                        return address ? SocketAddress.inetSocketAddress(40_000, caller) : null;
                    });
        }

        @SuppressWarnings("unchecked")
        private static Handler<Void> castHandler(Object handler) {
            return (Handler<Void>) handler;
        }

        private boolean refused() {
            return calls.contains("close");
        }
    }

    private FakeConnection open(String caller) {
        FakeConnection connection = new FakeConnection(caller);
        limit.handle(connection.connection());
        return connection;
    }

    @Test
    void connectionsBeyondTheLimitsAreClosed() {
        assertThat(open("10.0.0.1").refused(), is(false));
        FakeConnection secondOfCaller = open("10.0.0.1");
        assertThat(secondOfCaller.refused(), is(true));
        secondOfCaller.closeHandler.handle(null);
        assertThat(open("10.0.0.2").refused(), is(false));
        assertThat(open("10.0.0.3").refused(), is(true));
        assertThat(counters.value(HttpCounter.CONNECTIONS_REFUSED), is(2L));
    }

    @Test
    void closedConnectionIsNoLongerCounted() {
        open("10.0.0.1").closeHandler.handle(null);

        assertThat(open("10.0.0.1").refused(), is(false));
    }

    @Test
    void connectionFailuresAreHandled() {
        FakeConnection connection = new FakeConnection("10.0.0.1");

        ConnectionFailureLogger.INSTANCE.handle(connection.connection());

        assertThat(connection.calls, contains("exceptionHandler"));
    }
}
