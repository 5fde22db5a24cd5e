package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/** A dispatcher with a worker; keeps what the dispatcher decides. */
final class DispatcherFixture implements DispatchOutput {
    static final Incarnation AGENT = new Incarnation("agent", 1);
    static final Incarnation PEER = new Incarnation("peer", 2);
    static final Incarnation OTHER_PEER = new Incarnation("other-peer", 3);
    static final String JOB = "00000000000000aa";
    static final RunRef FIRST = new RunRef(JOB + ".0.0.0", 1);
    static final RunRef SECOND = new RunRef(JOB + ".0.0.0", 2);
    static final int CAPACITY_MILLI_CORES = 4_000;

    /** A message and its receiver. */
    record Sent(Incarnation receiver, Message message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final Map<String, List<JobResult>> answers = new LinkedHashMap<>();
    private final List<CancelResult> cancelResults = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final Dispatcher dispatcher = new Dispatcher(this, new DataCentreAccess());

    DispatcherFixture() {
        dispatcher.agentLinked(AGENT, 0);
        report(0, CAPACITY_MILLI_CORES);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Reports a worker whose agent's clock agrees with that of the entry. */
    void report(long millis, int freeMilliCores) {
        report(AGENT, millis, millis, freeMilliCores);
    }

    void report(Incarnation agent, long timestampMillis, long millis, int freeMilliCores) {
        report(agent, "w", timestampMillis, millis, freeMilliCores);
    }

    void report(Incarnation agent, String worker, long timestampMillis, long millis, int freeMilliCores) {
        Resources capacity = new Resources(CAPACITY_MILLI_CORES, 1_000, 0);
        Resources free = new Resources(freeMilliCores, 1_000, 0);
        receive(
                agent,
                new WorkerReport(
                        DispatchFixture.millisToNanos(timestampMillis),
                        "service",
                        worker,
                        List.of(),
                        capacity,
                        free,
                        true,
                        9,
                        0,
                        100,
                        true),
                millis);
    }

    /** Delivers a message; an update of a peer's jobs is followed by the answers to the probes that it has received. */
    void receive(Incarnation from, Message message, long millis) {
        dispatcher.receive(from, message, DispatchFixture.millisToNanos(millis));
        if (message instanceof JobOwnershipUpdate) {
            answerProbes(from, millis);
        }
    }

    /** Answers the probes that were sent to a peer. */
    void answerProbes(Incarnation peer, long millis) {
        List<OwnershipProbe> probes = sent.stream()
                .filter(message -> message.receiver().equals(peer))
                .map(Sent::message)
                .filter(OwnershipProbe.class::isInstance)
                .map(OwnershipProbe.class::cast)
                .toList();
        probes.forEach(probe -> dispatcher.receive(
                peer, new OwnershipProbeReply(probe.number()), DispatchFixture.millisToNanos(millis)));
    }

    void submit(long millis) {
        submit(JOB, millis, 60_000, 300);
    }

    /** Submits a job whose caller waits for a time only. */
    void submit(String id, long millis, int deadlineMillis, int estimateMillis) {
        JobRequest request = DispatchFixture.request(id, DispatchFixture.step(1, 1_000, estimateMillis));
        dispatcher.submit(
                request.dueBy(DispatchFixture.millisToNanos(millis + deadlineMillis)),
                DispatchFixture.millisToNanos(millis));
    }

    void sendResult(RunRef ref, RunOutcome outcome, long millis) {
        receive(AGENT, new RunsEnded(List.of(new RunResult(ref, outcome, 300, ""))), millis);
    }

    void unlink(Incarnation peer, long millis) {
        dispatcher.unlinked(peer, DispatchFixture.millisToNanos(millis));
    }

    void tick(long millis) {
        dispatcher.tick(DispatchFixture.millisToNanos(millis));
    }

    List<RunRef> ordered() {
        return sent(RunOrder.class).stream()
                .flatMap(order -> order.jobs().stream())
                .flatMap(job -> job.runs().stream())
                .map(RunRequest::ref)
                .toList();
    }

    List<RunRef> stopped() {
        return sent(StopRuns.class).stream()
                .flatMap(stop -> stop.runs().stream())
                .toList();
    }

    /** Returns whether the end of a job was reported to another entry. */
    boolean reportsEnd(String job) {
        return sent(JobOwnershipUpdate.class).stream()
                .anyMatch(update -> update.ended().contains(job));
    }

    <T extends Message> List<T> sent(Class<T> type) {
        return sent.stream()
                .map(Sent::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    List<Sent> sent() {
        return sent;
    }

    List<JobResult.Kind> answers(String job) {
        return answers.getOrDefault(job, List.of()).stream()
                .map(JobResult::kind)
                .toList();
    }

    List<CancelResult> cancelResults() {
        return cancelResults;
    }

    List<String> events(String event) {
        return events.stream().filter(line -> line.startsWith(event + " ")).toList();
    }

    @Override
    public void send(Incarnation peer, Message message) {
        sent.add(new Sent(peer, message));
    }

    @Override
    public void answer(String job, JobResult result) {
        answers.computeIfAbsent(job, key -> new ArrayList<>()).add(result);
    }

    @Override
    public void answerCancel(String job, CancelResult result) {
        cancelResults.add(result);
    }

    @Override
    public void logEvent(String event, String detail) {
        events.add(event + " " + detail);
    }
}
