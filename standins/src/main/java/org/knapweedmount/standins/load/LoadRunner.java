package org.knapweedmount.standins.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Sends the requests of a load and measures their answers.
 *
 * <p>Used on one event loop.
 */
final class LoadRunner {
    private final Vertx vertx;
    private final List<EntryClient> entries;
    private final List<IssuedIds> ids;
    private final LoadSettings settings;
    private final TraceLog trace;
    private final Map<LoadFlow, FlowStats> stats = new LinkedHashMap<>();
    private final Promise<Void> done = Promise.promise();
    private long inFlight;
    private boolean allSent;

    LoadRunner(Vertx vertx, LoadSettings settings, TraceLog trace) {
        this.vertx = vertx;
        this.settings = settings;
        this.trace = trace;
        this.entries = settings.entries().stream()
                .map(entry -> new EntryClient(vertx, entry, settings.connections(), settings.timeoutMillis()))
                .toList();
        this.ids = entries.stream().map(IssuedIds::new).toList();
        settings.flows().forEach(flow -> stats.put(flow, new FlowStats(settings.idealOverheadMicros())));
    }

    /** Has ids issued by each entry before the load begins. */
    Future<Void> prepare() {
        return Future.join(ids.stream().map(IssuedIds::take).toList())
                .otherwiseEmpty()
                .mapEmpty();
    }

    /** Sends a request that was meant to be sent at a time of {@link System#nanoTime}. */
    void submit(PlannedRequest request, long intendedNanos) {
        int entry = (int) (request.number() % entries.size());
        boolean recorded = request.atMicros() >= settings.warmUpMicros();
        FlowStats flow = stats.get(request.flow());
        if (recorded) {
            flow.sent();
        }
        inFlight++;
        submissionId(request, entry)
                .compose(id -> send(request, entry, id, flow, recorded, intendedNanos))
                .otherwise(Answer::unreached)
                .onSuccess(answer -> finish(request, flow, answer, recorded, intendedNanos))
                .onComplete(ignored -> ended());
    }

    private Future<String> submissionId(PlannedRequest request, int entry) {
        boolean needed =
                request.tasks().size() > 1 || request.resubmitAfterMicros().isPresent();
        return needed ? takeId(entry, entries.size()) : Future.succeededFuture("");
    }

    private Future<String> takeId(int entry, int triesLeft) {
        Future<String> id = ids.get(entry % entries.size()).take();
        return triesLeft <= 1 ? id : id.recover(error -> takeId(entry + 1, triesLeft - 1));
    }

    private Future<Answer> send(
            PlannedRequest request, int entry, String id, FlowStats flow, boolean recorded, long intendedNanos) {
        Future<Answer> first = sendTo(entry, request, id);
        if (request.resubmitAfterMicros().isPresent()) {
            long afterMicros = request.resubmitAfterMicros().getAsLong();
            inFlight++;
            delay(intendedNanos, afterMicros)
                    .compose(ignored -> sendTo(entry + 1, request, id))
                    .compose(second -> first.map(answer -> pair(flow, recorded, answer, second)))
                    .onComplete(ignored -> ended());
        }
        return first;
    }

    private Void pair(FlowStats flow, boolean recorded, Answer first, Answer second) {
        if (recorded) {
            flow.resubmitted(first.ending(), second.ending());
        }
        return null;
    }

    /** Sends to an entry, or to the next one if it is down or stopping, as the platform's balancer does. */
    private Future<Answer> sendTo(int entry, PlannedRequest request, String id) {
        return sendTo(entry, request, id, entries.size());
    }

    private Future<Answer> sendTo(int entry, PlannedRequest request, String id, int triesLeft) {
        EntryClient client = entries.get(entry % entries.size());
        Future<Answer> answer = request.tasks().size() > 1 ? client.job(request, id) : client.single(request, id);
        if (triesLeft <= 1) {
            return answer;
        }
        return answer.compose(result -> result.mayGoElsewhere(id)
                ? sendTo(entry + 1, request, id, triesLeft - 1)
                : Future.succeededFuture(result));
    }

    private Future<Void> delay(long intendedNanos, long afterMicros) {
        long elapsedNanos = System.nanoTime() - intendedNanos;
        long leftMillis = TimeUnit.MICROSECONDS.toMillis(afterMicros) - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
        return vertx.timer(Math.max(1, leftMillis), TimeUnit.MILLISECONDS).mapEmpty();
    }

    private void finish(PlannedRequest request, FlowStats flow, Answer answer, boolean recorded, long intendedNanos) {
        if (!recorded) {
            return;
        }
        long responseMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - intendedNanos);
        flow.ended(answer, responseMicros, request.longestRunMicros());
        trace.append(request, responseMicros, answer);
    }

    private void ended() {
        inFlight--;
        finishIfDone();
    }

    /** Notes that no request follows; returns a future that is done with the last answer. */
    Future<Void> awaitAnswers() {
        allSent = true;
        finishIfDone();
        return done.future();
    }

    private void finishIfDone() {
        if (allSent && inFlight == 0) {
            done.tryComplete();
        }
    }

    /** Returns what became of each flow. */
    List<FlowSummary> summaries() {
        return stats.entrySet().stream()
                .map(entry -> entry.getValue().summary(entry.getKey().name()))
                .toList();
    }
}
