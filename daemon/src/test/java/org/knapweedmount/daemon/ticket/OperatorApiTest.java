package org.knapweedmount.daemon.ticket;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.store.InMemoryTableService;
import org.knapweedmount.daemon.store.InMemoryTableService.Mode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class OperatorApiTest {
    private static final String TOKEN = "0123456789abcdef";
    private static final String TICKET =
            "{\"author\":\"ana\",\"objects\":[{\"type\":\"team\",\"name\":\"north\",\"weight\":1,\"quotaShare\":0.5}]}";

    private record Response(int status, String body) {}

    private final Vertx vertx = Vertx.vertx();
    private final HttpClientAgent client = vertx.createHttpClient();
    private final InMemoryTableService tables = new InMemoryTableService();
    private final AtomicInteger drains = new AtomicInteger();
    private int port;

    @BeforeEach
    void start() throws Exception {
        Context context = vertx.getOrCreateContext();
        AuditLog audit = new AuditLog(10, () -> "now");
        ConfigSink sink = (List<Ticket> tickets, Optional<Incarnation> from) -> {};
        TicketService service =
                new TicketService(context, tables, "entry-1", () -> "now", audit, sink, Invariants.fatal());
        OperatorTokens tokens = OperatorTokens.parse("night-shift " + TOKEN);
        OperatorApi api = new OperatorApi(vertx, tokens, service, audit, new FakeControl());
        port = await(api.listen("127.0.0.1", 0));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    @Test
    void requestWithoutAValidTokenIsRefused() throws Exception {
        Response response = await(request(HttpMethod.PUT, "/v1/tickets/1", TICKET, "Bearer 0123456789abcdeX"));

        assertThat(response.status, is(401));
        assertThat(tables.transactions(), is(0));
    }

    @Test
    void ticketIsAcceptedOnceAndShown() throws Exception {
        assertThat(send(HttpMethod.PUT, "/v1/tickets/5", TICKET), is(accepted(5)));
        assertThat(send(HttpMethod.PUT, "/v1/tickets/5", TICKET), is(accepted(5)));

        assertThat(send(HttpMethod.GET, "/v1/tickets/5", "").body, containsString("\"quotaShare\":0.5"));
        assertThat(send(HttpMethod.GET, "/v1/tickets/6", "").status, is(404));
        assertThat(send(HttpMethod.GET, "/v1/tickets?limit=1", "").body, containsString("\"number\":5"));
    }

    @Test
    void lowerNumberIsRefusedWithTheHighest() throws Exception {
        send(HttpMethod.PUT, "/v1/tickets/5", TICKET);

        Response response = send(HttpMethod.PUT, "/v1/tickets/4", TICKET);

        assertThat(response.status, is(409));
        assertThat(response.body, containsString("\"highest\":5"));
        String audit = send(HttpMethod.GET, "/v1/audit", "").body;
        assertThat(audit, containsString("\"trailRead\":true,\"trail\":[{\"number\":5,\"author\":\"ana\""));
        assertThat(audit, containsString("\"action\":\"refused\",\"number\":4,\"who\":\"ana/night-shift\""));
    }

    @ParameterizedTest
    @CsvSource({"DOWN, DOWN, not-run", "UP, LOSE_REQUESTS, unknown"})
    void outageIsDistinguishedFromALostAnswer(Mode reads, Mode transacts, String outcome) throws Exception {
        tables.mode(reads, transacts);

        Response response = send(HttpMethod.PUT, "/v1/tickets/1", TICKET);

        assertThat(response.status, is(503));
        assertThat(response.body, containsString("\"outcome\":\"" + outcome + "\""));
    }

    @ParameterizedTest
    @CsvSource({
        "PUT, /v1/tickets/01, 400",
        "PUT, /v1/tickets/x, 400",
        "PUT, /v1/tickets/1, 400",
        "DELETE, /v1/tickets/1, 405",
        "GET, /v1/tickets?limit=501, 400",
        "GET, /v1/drain, 405",
        "GET, /v1/nothing, 404",
        "GET, /v1/status, 200",
    })
    void statusOfOtherRequests(String method, String uri, int status) throws Exception {
        assertThat(send(HttpMethod.valueOf(method), uri, "").status, is(status));
    }

    @Test
    void drainIsPassedOn() throws Exception {
        assertThat(send(HttpMethod.POST, "/v1/drain", "").status, is(202));

        assertThat(drains.get(), is(1));
    }

    private static Response accepted(long number) {
        return new Response(200, "{\"number\":" + number + ",\"state\":\"accepted\"}");
    }

    private Response send(HttpMethod method, String uri, String body) throws Exception {
        return await(request(method, uri, body, "Bearer " + TOKEN));
    }

    private Future<Response> request(HttpMethod method, String uri, String body, String authorization) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI(uri)
                .putHeader("Authorization", authorization);
        return client.request(options)
                .compose(request -> request.send(Buffer.buffer(body)).compose(OperatorApiTest::toResponse));
    }

    private static Future<Response> toResponse(HttpClientResponse response) {
        return response.body().map(text -> new Response(response.statusCode(), text.toString()));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private final class FakeControl implements EntryControl {
        @Override
        public Future<HttpResponse> status() {
            return Future.succeededFuture(HttpResponse.of(200, HttpResponse.JSON, Payload.of("{}")));
        }

        @Override
        public void drain() {
            drains.incrementAndGet();
        }
    }
}
