package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.daemon.store.Exchange;
import org.knapweedmount.standins.support.HostPort;
import org.knapweedmount.standins.support.JsonHttp;

/**
 * Callers that send jobs at random times, and send a job without an answer again to any entry.
 *
 * <p>They use open connections until these break. Confined to one event loop.
 */
final class SoakCallers {
    private static final int RESEND_MILLIS = 1_300;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_CONNECTIONS_PER_ENTRY = 500;
    private static final int MIN_MILLI_CORES = 2_500;
    private static final int MAX_MILLI_CORES = 3_700;
    private static final double RUN_SPREAD = 0.4;
    private static final int MEMORY_MB = 64;

    private final Vertx vertx;
    private final LongSupplier clockMillis;
    private final RunHistory history;
    private final Random random;
    private final List<HostPort> entries;
    private final List<HttpClient> clients = new ArrayList<>();
    private double jobsPerSecond;
    private double abandonedShare;
    private int unfinishedJobs;
    private boolean stopped;

    private record Job(String id, JobKind kind, Buffer body) {}

    SoakCallers(Vertx vertx, LongSupplier clockMillis, RunHistory history, List<HostPort> entries, Random random) {
        this.vertx = vertx;
        this.clockMillis = clockMillis;
        this.history = history;
        this.entries = List.copyOf(entries);
        this.random = random;
        for (HostPort entry : entries) {
            clients.add(vertx.createHttpClient(
                    new HttpClientOptions()
                            .setDefaultHost(entry.host())
                            .setDefaultPort(entry.port())
                            .setTcpNoDelay(true),
                    new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENTRY)));
        }
    }

    void start(double rate) {
        jobsPerSecond = rate;
        scheduleNext();
    }

    /** Sends no new jobs; jobs without an answer are still sent again. */
    void stop() {
        stopped = true;
    }

    int unfinishedJobs() {
        return unfinishedJobs;
    }

    void rate(double newRate) {
        jobsPerSecond = newRate;
    }

    /** Sets the share of attempts whose callers disconnect before the deadline. */
    void abandon(double share) {
        abandonedShare = share;
    }

    private void scheduleNext() {
        double pauseMillis = -Math.log(1 - random.nextDouble()) * 1_000 / jobsPerSecond;
        vertx.setTimer(Math.max(1, Math.round(pauseMillis)), timer -> {
            if (!stopped) {
                unfinishedJobs++;
                send(draw(), random.nextInt(entries.size()), 1);
                scheduleNext();
            }
        });
    }

    private Job draw() {
        JobKind kind = JobKind.draw(random);
        int runMillis = (int) (kind.meanRunMillis() * spread());
        int milliCores = random.nextInt(MIN_MILLI_CORES, MAX_MILLI_CORES);
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("spec", new TaskSpec(runMillis, milliCores).text())
                .put("bestEffort", true);
        body.putArray("steps")
                .addObject()
                .put("count", kind.tasks())
                .put("cpu", milliCores)
                .put("memMb", MEMORY_MB)
                .put("estimateMs", (int) (runMillis * spread()));
        return new Job(String.format("%016x", random.nextLong()), kind, JsonHttp.encode(body));
    }

    private double spread() {
        return 1 - RUN_SPREAD + 2 * RUN_SPREAD * random.nextDouble();
    }

    private void send(Job job, int entry, int attempt) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setURI(job.kind().pathPrefix() + job.id())
                .putHeader("Host", JobKind.HOST)
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Deadline-Ms", Integer.toString(DEADLINE_MILLIS));
        boolean abandoned = random.nextDouble() < abandonedShare;
        int timeoutMillis = abandoned ? random.nextInt(1, DEADLINE_MILLIS) : DEADLINE_MILLIS;
        history.submitted(job.id(), job.kind().tasks(), "entry-" + (entry + 1), clockMillis.getAsLong());
        new Exchange(vertx)
                .run(clients.get(entry), options, job.body(), timeoutMillis)
                .onSuccess(result -> answered(job, entry, attempt, answer(result)));
    }

    private static CallerAnswer answer(Exchange.Result result) {
        if (result.end() != Exchange.End.ANSWERED) {
            return CallerAnswer.NONE;
        }
        try {
            String state = result.body().length() == 0
                    ? ""
                    : JsonHttp.parse(result.body()).path("state").asText();
            return CallerAnswer.of(result.status(), state);
        } catch (ParseException e) {
            return CallerAnswer.NONE;
        }
    }

    private void answered(Job job, int entry, int attempt, CallerAnswer answer) {
        history.answered(job.id(), answer, clockMillis.getAsLong());
        if (answer != CallerAnswer.NONE || attempt == MAX_ATTEMPTS) {
            unfinishedJobs--;
            return;
        }
        int other = (entry + random.nextInt(entries.size())) % entries.size();
        vertx.setTimer(RESEND_MILLIS, timer -> send(job, other, attempt + 1));
    }
}
