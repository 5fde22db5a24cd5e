package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
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
 * Callers that send jobs at random times. A caller without an answer sends its job again to any entry or leaves for good;
 * some cancel their jobs.
 *
 * <p>They use open connections until these break. Confined to one event loop.
 */
final class SoakCallers {
    private static final int RESEND_MILLIS = 1_300;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_CONNECTIONS_PER_ENTRY = 500;
    private static final int MAX_CANCEL_DELAY_MILLIS = 5_000;
    private static final int CANCEL_TIMEOUT_MILLIS = 3_000;
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final double CORE_SPREAD = 0.2;
    private static final double RUN_SPREAD = 0.4;
    private static final int MEMORY_MB = 64;

    private final Vertx vertx;
    private final SoakSite site;
    private final RunHistory history;
    private final Random random;
    private final FaultSeries series;
    private final List<HostPort> entries;
    private final List<HttpClient> clients = new ArrayList<>();
    private final Optional<JobSender> keptConnections;
    private double jobsPerSecond;
    private double abandonedShare;
    private int unfinishedJobs;
    private boolean stopped;
    private final Set<String> cancelledJobs = new HashSet<>();

    private record Job(String id, JobKind kind, Buffer body) {}

    SoakCallers(
            Vertx vertx,
            SoakSite site,
            FaultSeries series,
            List<HostPort> entries,
            Optional<JobSender> keptConnections,
            Random random) {
        this.vertx = vertx;
        this.site = site;
        this.history = site.history();
        this.series = series;
        this.entries = List.copyOf(entries);
        this.keptConnections = keptConnections;
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
        JobKind kind = JobKind.draw(random, series);
        int runMillis = (int) (kind.meanRunMillis() * spreadFactor(RUN_SPREAD));
        int milliCores = (int) (kind.meanMilliCores() * spreadFactor(CORE_SPREAD));
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("spec", new TaskSpec(runMillis, milliCores).text())
                .put("bestEffort", true);
        body.putArray("steps")
                .addObject()
                .put("count", kind.tasks())
                .put("cpu", milliCores)
                .put("memMb", MEMORY_MB)
                .put("estimateMs", (int) (runMillis * spreadFactor(RUN_SPREAD)));
        return new Job(String.format("%016x", random.nextLong()), kind, JsonHttp.encode(body));
    }

    private double spreadFactor(double spread) {
        return 1 - spread + 2 * spread * random.nextDouble();
    }

    private void send(Job job, int entry, int attempt) {
        int deadlineMillis = job.kind().deadlineMillis();
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setURI(job.kind().pathPrefix() + job.id())
                .putHeader("Host", JobKind.HOST)
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Deadline-Ms", Integer.toString(deadlineMillis));
        if (random.nextDouble() < job.kind().cancelledShare()) {
            vertx.setTimer(random.nextInt(1, MAX_CANCEL_DELAY_MILLIS), timer -> cancel(job));
        }
        boolean abandoned = random.nextDouble() < abandonedShare;
        int timeoutMillis = abandoned ? random.nextInt(1, deadlineMillis) : deadlineMillis;
        String target = keptConnections.isPresent() ? "an entry" : "entry-" + (entry + 1);
        long sentMillis = site.nowMillis();
        history.submitted(job.id(), job.kind().tasks(), target, sentMillis);
        keptConnections
                .orElse(this::sendToAnyConnection)
                .send(entry, job.id(), options, job.body(), timeoutMillis)
                .onSuccess(result -> {
                    CallerAnswer answer = answer(result);
                    site.starvedEntries().answered(entry + 1, sentMillis, answer);
                    answered(job, entry, attempt, answer);
                });
    }

    private Future<Exchange.Result> sendToAnyConnection(
            int entry, String job, RequestOptions options, Buffer body, int timeoutMillis) {
        return new Exchange(vertx).run(clients.get(entry), options, body, timeoutMillis);
    }

    private void sendAgain(Job job, int entry, int attempt) {
        if (cancelledJobs.contains(job.id())) {
            unfinishedJobs--;
            return;
        }
        send(job, entry, attempt);
    }

    /** Cancels a job at any entry; the caller does not send it again. */
    private void cancel(Job job) {
        cancelledJobs.add(job.id());
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.DELETE)
                .setURI(job.kind().pathPrefix() + job.id())
                .putHeader("Host", JobKind.HOST);
        new Exchange(vertx)
                .run(clients.get(random.nextInt(entries.size())), options, Buffer.buffer(), CANCEL_TIMEOUT_MILLIS)
                .onSuccess(result -> {
                    if (result.status() == OK || result.status() == GONE) {
                        history.cancelled(job.id(), site.nowMillis());
                    }
                });
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
        history.answered(job.id(), answer, site.nowMillis());
        boolean leaves = attempt == MAX_ATTEMPTS
                || cancelledJobs.contains(job.id())
                || random.nextDouble() < job.kind().leavingShare();
        if (answer != CallerAnswer.NONE || leaves) {
            unfinishedJobs--;
            history.left(job.id(), site.nowMillis());
            return;
        }
        int other = (entry + random.nextInt(entries.size())) % entries.size();
        vertx.setTimer(RESEND_MILLIS, timer -> sendAgain(job, other, attempt + 1));
    }
}
