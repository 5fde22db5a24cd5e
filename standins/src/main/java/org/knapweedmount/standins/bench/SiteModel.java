package org.knapweedmount.standins.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.dispatch.JobRequest;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.dispatch.JobStep;
import org.knapweedmount.wire.FrameException;
import org.knapweedmount.wire.FrameSplitter;
import org.knapweedmount.wire.LinkEnds;
import org.knapweedmount.wire.MessageDecoder;
import org.knapweedmount.wire.MessageEncoder;

/**
 * A site in virtual time whose entries and agents exchange encoded messages; what their code takes is measured. Callers
 * submit three kinds of jobs to entries drawn by lot, as many for each worker whatever the size of the site.
 */
final class SiteModel {
    static final String SERVICE = "service";

    private static final double LINK_MILLIS = 0.5;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    private static final long DEADLINE_SECONDS = 10;
    private static final int MILLI_CORES = 1_300;
    private static final double STRETCH = 1.6;
    private static final int TARGET_LATENCY_MILLIS = 60;

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(1);
    private final RoleCost entryCost = new RoleCost();
    private final RoleCost agentCost = new RoleCost();
    private final Map<Incarnation, ModelEntry> entries = new HashMap<>();
    private final Map<Incarnation, ModelAgent> agents = new HashMap<>();
    private final List<ModelEntry> calledEntries = new ArrayList<>();
    private final MessageEncoder encoder = new MessageEncoder();
    private final MessageDecoder decoder = new MessageDecoder();
    private final Map<String, Long> targetNanos = new HashMap<>();
    private int lastJob;
    private int answered;
    private int onTime;
    private int doneRuns;
    private int refusedRuns;

    SiteModel(int entryCount, int agentCount) {
        for (int number = 1; number <= agentCount; number++) {
            Incarnation agent = new Incarnation("side-" + number, number);
            agents.put(agent, new ModelAgent(this, agent));
        }
        for (int number = 1; number <= entryCount; number++) {
            Incarnation entry = new Incarnation("edge-" + number, number);
            ModelEntry started = new ModelEntry(this, entry);
            entries.forEach((other, model) -> {
                model.entryLinked(entry);
                started.entryLinked(other);
            });
            entries.put(entry, started);
            calledEntries.add(started);
            agents.forEach((agent, model) -> {
                started.agentLinked(agent);
                model.linked(entry);
            });
        }
    }

    VirtualTime time() {
        return time;
    }

    RoleCost entries() {
        return entryCost;
    }

    RoleCost agents() {
        return agentCost;
    }

    /** Returns the fraction of the answered jobs that were completed by their targets. */
    double onTimeFraction() {
        return (double) onTime / answered;
    }

    int answered() {
        return answered;
    }

    /** Returns the number of refused runs for each one that was done. */
    double refusedFraction() {
        return (double) refusedRuns / doneRuns;
    }

    void reset() {
        entryCost.reset();
        agentCost.reset();
        answered = 0;
        onTime = 0;
        doneRuns = 0;
        refusedRuns = 0;
    }

    /** Submits jobs of a kind from now on. */
    void submit(String queue, double perSecond, int tasks, int millis) {
        double gapMillis = -Math.log(1 - random.nextDouble()) * TimeUnit.SECONDS.toMillis(1) / perSecond;
        time.after(gapMillis, () -> {
            lastJob++;
            String id = "%016x".formatted(lastJob);
            targetNanos.put(
                    id,
                    time.nanos()
                            + TimeUnit.MICROSECONDS.toNanos((long)
                                    (TimeUnit.MILLISECONDS.toMicros(1) * (STRETCH * millis + TARGET_LATENCY_MILLIS))));
            calledEntries.get(random.nextInt(calledEntries.size())).submit(request(id, queue, tasks, millis));
            submit(queue, perSecond, tasks, millis);
        });
    }

    private JobRequest request(String id, String queue, int tasks, int millis) {
        WorkQueue workQueue = new WorkQueue(
                queue, "host", "/" + queue + "/", SERVICE, 0, 3, STRETCH, TARGET_LATENCY_MILLIS, 1_500, false);
        JobStep step = new JobStep(
                tasks,
                new Resources(MILLI_CORES, 64, 0),
                millis,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Integer.MAX_VALUE);
        long deadlineNanos = time.nanos() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS);
        return new JobRequest(id, workQueue, "specification", List.of(step), deadlineNanos);
    }

    void answered(String job, JobResult result) {
        answered++;
        boolean late = time.nanos() - targetNanos.remove(job) > 0;
        onTime += result.kind() == JobResult.Kind.COMPLETED && !late ? 1 : 0;
    }

    /** Encodes a message, and delivers it to the other end of the link. */
    void send(Incarnation from, Incarnation to, Message message) {
        try {
            byte[] frame = encoder.encode(message, LinkEnds.of(from, to));
            (entries.containsKey(from) ? entryCost : agentCost).sent(message, frame.length);
            time.after(LINK_MILLIS, () -> receiverCost(to).run(() -> receive(from, to, frame)));
        } catch (FrameException e) {
            throw new IllegalStateException("a message of the model cannot be encoded", e);
        }
    }

    private RoleCost receiverCost(Incarnation to) {
        return entries.containsKey(to) ? entryCost : agentCost;
    }

    private void receive(Incarnation from, Incarnation to, byte[] frame) {
        try {
            new FrameSplitter(MAX_FRAME_BYTES)
                    .accept(
                            frame,
                            (bytes, offset, length) ->
                                    deliver(from, to, decoder.decode(bytes, offset, length, LinkEnds.of(from, to))));
        } catch (FrameException e) {
            throw new IllegalStateException("a message of the model cannot be decoded", e);
        }
    }

    private void deliver(Incarnation from, Incarnation to, Message message) {
        if (message instanceof RunsEnded ended) {
            ended.results().forEach(result -> count(result.outcome()));
        }
        if (entries.containsKey(to)) {
            entries.get(to).receive(from, message);
        } else {
            agents.get(to).receive(from, message);
        }
    }

    private void count(RunOutcome outcome) {
        doneRuns += outcome == RunOutcome.DONE ? 1 : 0;
        refusedRuns += outcome == RunOutcome.REFUSED ? 1 : 0;
    }
}
