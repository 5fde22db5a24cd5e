package org.knapweedmount.daemon.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.daemon.runtime.NanoClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests {@link GracefulShutdown}. */
class GracefulShutdownTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int LIMIT_MILLIS = 2_000;
    private static final int CALLERS = 100;
    private static final int BLOCKED_MILLIS = 700;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context context = vertx.getOrCreateContext();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private int port;

    @AfterEach
    void close() throws Exception {
        threads.shutdownNow();
        await(vertx.close());
    }

    private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private HttpServer listen() throws Exception {
        Promise<HttpServer> listening = Promise.promise();
        context.runOnContext(ignored -> vertx.createHttpServer()
                .requestHandler(request -> request.response().end())
                .listen(0, "127.0.0.1")
                .onComplete(listening));
        HttpServer server = await(listening.future());
        port = server.actualPort();
        return server;
    }

    private Socket send() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.getOutputStream().write(REQUEST);
        return socket;
    }

    private static Callable<Boolean> isAnswered(Socket socket) {
        return () -> {
            try (socket) {
                return socket.getInputStream().read() >= 0;
            } catch (IOException e) {
                return false;
            }
        };
    }

    /** The connections are closed only when the requests have been read that arrived while the event loop was blocked. */
    @Test
    void requestsOnNewConnectionsThatArrivedWhileTheEventLoopWasBlockedAreAnswered() throws Exception {
        HttpServer server = listen();
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        Promise<Void> ended = Promise.promise();
        context.runOnContext(ignored -> {
            blocked.countDown();
            try {
                sent.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                TimeUnit.MILLISECONDS.sleep(BLOCKED_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            new GracefulShutdown(vertx, NanoClock.SYSTEM, server, () -> 0)
                    .begin(LIMIT_MILLIS)
                    .onComplete(ended);
        });
        blocked.await();
        List<Future<Boolean>> answers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            answers.add(threads.submit(isAnswered(send())));
        }
        sent.countDown();
        await(ended.future());

        int answered = 0;
        for (Future<Boolean> answer : answers) {
            answered += answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) ? 1 : 0;
        }
        assertThat("answered", answered, is(CALLERS));
    }
}
