package org.knapweedmount.standins.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Sends the requests of a load and records their results.
 *
 * <p>The number of requests in flight is limited, which also limits memory. Must be called on one event loop, except
 * for {@link #admit}.
 */
final class LoadRunner {
    private final Vertx vertx;
    private final List<EntryClient> entries;
    private final List<SubmissionIdPool> idPools;
    private final LoadSettings settings;
    private final TraceLog trace;
    private final Map<LoadFlow, FlowStats> stats = new LinkedHashMap<>();
    private final Promise<Void> done = Promise.promise();
    private final Map<Long, SentRequest> outstanding = new LinkedHashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private boolean allSent;
    private boolean closed;

    LoadRunner(Vertx vertx, LoadSettings settings, TraceLog trace) {
        this.vertx = vertx;
        this.settings = settings;
        this.trace = trace;
        this.entries = settings.entries().stream()
                .map(entry -> new EntryClient(vertx, entry, settings.connections(), settings.timeoutMillis()))
                .toList();
        this.idPools = entries.stream().map(SubmissionIdPool::new).toList();
        settings.flows().forEach(flow -> stats.put(flow, flowStats(flow)));
    }

    private FlowStats flowStats(LoadFlow flow) {
        return new FlowStats(settings.idealOverheadMicros(), settings.recordedSeconds(flow));
    }

    /** Prefetches submission IDs from each entry before the load starts; succeeds even if an entry issues none. */
    Future<Void> prepare() {
        return Future.join(idPools.stream().map(SubmissionIdPool::take).toList())
                .otherwiseEmpty()
                .mapEmpty();
    }

    /**
     * Admits a request, or counts it as not sent if too many are in flight; called on the arrival thread.
     *
     * <p>The request counts as in flight before it is passed to the event loop, so that the queue of the event loop is
     * limited too. A resubmission counts as in flight without a check, since each request has at most one.
     *
     * @return true if the request must be submitted
     */
    boolean admit(PlannedRequest request) {
        if (inFlight.get() < settings.maxInFlight()) {
            inFlight.incrementAndGet();
            return true;
        }
        if (isRecorded(request)) {
            stats.get(request.flow()).recordNotSent();
        }
        return false;
    }

    private boolean isRecorded(PlannedRequest request) {
        return request.arrivalMicros() >= settings.warmUpMicros();
    }

    /** Sends an admitted request whose intended send time is given as a value of {@link System#nanoTime}. */
    void submit(PlannedRequest request, long intendedNanos) {
        int entry = (int) (request.number() % entries.size());
        SentRequest sent = new SentRequest(request, stats.get(request.flow()), isRecorded(request), intendedNanos);
        sent.recordSent();
        outstanding.put(request.number(), sent);
        submissionId(request, entry)
                .compose(id -> send(sent, entry, id))
                .otherwise(RequestResult::unreached)
                .onSuccess(result -> finish(sent, result))
                .onComplete(ignored -> releaseRequest());
    }

    private Future<String> submissionId(PlannedRequest request, int entry) {
        boolean needed =
                request.tasks().size() > 1 || request.resubmitAfterMicros().isPresent();
        return needed ? takeId(entry, entries.size()) : Future.succeededFuture("");
    }

    private Future<String> takeId(int entry, int triesLeft) {
        Future<String> id = idPools.get(entry % entries.size()).take();
        return triesLeft <= 1 ? id : id.recover(error -> takeId(entry + 1, triesLeft - 1));
    }

    private Future<RequestResult> send(SentRequest sent, int entry, String id) {
        PlannedRequest request = sent.request();
        Future<RequestResult> first = sendTo(entry, request, id);
        if (request.resubmitAfterMicros().isPresent()) {
            inFlight.incrementAndGet();
            delay(sent.intendedNanos(), request.resubmitAfterMicros().getAsLong())
                    .compose(ignored -> sendTo(entry + 1, request, id))
                    .compose(second -> first.map(result -> compareResults(sent, result, second)))
                    .onComplete(ignored -> releaseRequest());
        }
        return first;
    }

    private Void compareResults(SentRequest sent, RequestResult first, RequestResult second) {
        if (!closed) {
            sent.recordResubmission(first, second);
        }
        return null;
    }

    /** Sends to an entry, or to the next one if it is down or draining, as the platform's load balancer does. */
    private Future<RequestResult> sendTo(int entry, PlannedRequest request, String id) {
        return sendTo(entry, request, id, entries.size());
    }

    private Future<RequestResult> sendTo(int entry, PlannedRequest request, String id, int triesLeft) {
        EntryClient client = entries.get(entry % entries.size());
        Future<RequestResult> attempt =
                request.tasks().size() > 1 ? client.sendJob(request, id) : client.sendSingle(request, id);
        if (triesLeft <= 1) {
            return attempt;
        }
        return attempt.compose(result -> result.mayRetryOnAnotherEntry(id)
                ? sendTo(entry + 1, request, id, triesLeft - 1)
                : Future.succeededFuture(result));
    }

    private Future<Void> delay(long intendedNanos, long afterMicros) {
        long elapsedNanos = System.nanoTime() - intendedNanos;
        long leftMillis = TimeUnit.MICROSECONDS.toMillis(afterMicros) - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
        return vertx.timer(Math.max(1, leftMillis), TimeUnit.MILLISECONDS).mapEmpty();
    }

    private void finish(SentRequest sent, RequestResult result) {
        if (outstanding.remove(sent.request().number()) != null) {
            sent.recordResult(result, System.nanoTime(), trace);
        }
    }

    private void releaseRequest() {
        inFlight.decrementAndGet();
        closeIfDone();
    }

    /** Marks the last request as sent; the future succeeds with the last response or at the time limit. */
    Future<Void> awaitResponses() {
        allSent = true;
        vertx.setTimer(settings.awaitMillis(), fired -> close());
        closeIfDone();
        return done.future();
    }

    private void closeIfDone() {
        if (allSent && inFlight.get() == 0) {
            close();
        }
    }

    /** Ends the load; responses that are received later are not counted. */
    private void close() {
        closed = true;
        outstanding.values().forEach(sent -> sent.recordResult(RequestResult.NO_RESPONSE, System.nanoTime(), trace));
        outstanding.clear();
        done.tryComplete();
    }

    /** Returns the statistics of each flow. */
    List<FlowSummary> summaries() {
        return stats.entrySet().stream()
                .map(entry -> entry.getValue().summary(entry.getKey().name()))
                .toList();
    }
}
