package org.knapweedmount.daemon.runtime;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Tests {@link BoundedWait}. */
class BoundedWaitTest {
    private static final int LIMIT_MILLIS = 20;

    private final List<String> written = new CopyOnWriteArrayList<>();

    private void await(Future<Void> ended) throws InterruptedException {
        try (DecisionLog log = new DecisionLog(written::add)) {
            BoundedWait.await("the links", ended, LIMIT_MILLIS, log, NanoClock.SYSTEM);
        }
    }

    @Test
    void nothingIsLoggedAfterAnEndInTime() throws InterruptedException {
        await(Future.succeededFuture());

        assertThat(written, is(empty()));
    }

    @Test
    void whatDoesNotEndInTimeIsLogged() throws InterruptedException {
        await(Promise.<Void>promise().future());

        assertThat(
                written,
                contains("event=stop-incomplete left=\"the links\" cause=java.util.concurrent.TimeoutException"));
    }
}
