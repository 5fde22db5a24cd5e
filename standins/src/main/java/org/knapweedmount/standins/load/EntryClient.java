package org.knapweedmount.standins.load;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.standins.support.HostPort;
import org.knapweedmount.standins.support.JsonHttp;

/** HTTP client that sends requests to one entry. */
final class EntryClient {
    private final HttpClient client;
    private final HostPort entry;
    private final int timeoutMillis;

    EntryClient(Vertx vertx, HostPort entry, int connections, int timeoutMillis) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(connections));
        this.entry = entry;
        this.timeoutMillis = timeoutMillis;
    }

    /** Sends a single request, with an issued ID as its idempotency key unless the ID is empty. */
    Future<RequestResult> sendSingle(PlannedRequest request, String submission) {
        return request(HttpMethod.POST, RequestWriter.singlePath(request))
                .compose(
                        http -> sendSingle(http, request, submission).otherwise(RequestResult::lost),
                        EntryClient::unreached);
    }

    private static Future<RequestResult> sendSingle(HttpClientRequest http, PlannedRequest request, String submission) {
        putHeaders(http, request, submission);
        return http.send(Buffer.buffer(request.body(0)))
                .compose(response -> response.body()
                        .map(body -> ResponseReader.readSingle(
                                request,
                                response.getHeader("Knapweedmount-Outcome"),
                                response.getHeader("Knapweedmount-Submission"),
                                body.getBytes())));
    }

    private static Future<RequestResult> unreached(Throwable error) {
        return Future.succeededFuture(RequestResult.unreached(error));
    }

    private static void putHeaders(HttpClientRequest http, PlannedRequest request, String submission) {
        http.putHeader("Content-Type", "text/plain");
        http.putHeader("Knapweedmount-Team", request.flow().team());
        http.putHeader("Knapweedmount-Kind", request.flow().kind());
        int declaredMillis = request.tasks().get(0).declaredMillis();
        if (declaredMillis > 0) {
            http.putHeader("Knapweedmount-Declared-Millis", Integer.toString(declaredMillis));
        }
        if (!submission.isEmpty()) {
            http.putHeader("Idempotency-Key", submission);
        }
    }

    /** Sends a job with an issued ID. */
    Future<RequestResult> sendJob(PlannedRequest request, String submission) {
        return request(HttpMethod.PUT, "/v1/jobs/" + submission)
                .compose(http -> sendJob(http, request).otherwise(RequestResult::lost), EntryClient::unreached);
    }

    private static Future<RequestResult> sendJob(HttpClientRequest http, PlannedRequest request) {
        return http.putHeader("Content-Type", "application/json")
                .send(RequestWriter.job(request))
                .compose(response -> response.body())
                .map(body -> ResponseReader.readJob(request, body.getBytes()));
    }

    /** Requests a number of new submission IDs from the entry. */
    Future<List<String>> requestIds(int count) {
        return request(HttpMethod.POST, "/v1/submission-ids?count=" + count)
                .compose(HttpClientRequest::send)
                .compose(response -> response.body())
                .compose(EntryClient::parseIds);
    }

    private static Future<List<String>> parseIds(Buffer body) {
        try {
            List<String> ids = new ArrayList<>();
            for (JsonNode id : JsonHttp.parse(body).path("ids")) {
                ids.add(id.asText());
            }
            return ids.isEmpty() ? Future.failedFuture("no submission IDs in " + body) : Future.succeededFuture(ids);
        } catch (ParseException e) {
            return Future.failedFuture(e);
        }
    }

    private Future<HttpClientRequest> request(HttpMethod method, String uri) {
        return client.request(new RequestOptions()
                .setMethod(method)
                .setHost(entry.host())
                .setPort(entry.port())
                .setURI(uri)
                .setTimeout(timeoutMillis));
    }
}
