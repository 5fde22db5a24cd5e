package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.worker.RunList;
import org.knapweedmount.core.worker.StartReply;
import org.knapweedmount.core.worker.StopReply;
import org.knapweedmount.core.worker.WorkerAnnouncement;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerTimings;

/**
 * A worker as the platform describes it: it starts what it is told, whether that fits or not, holds all runs by one lease
 * on its own clock, and lists ends until they are acknowledged. Each life takes orders from its first list on.
 */
final class FakeWorker {
    private static final double CALL_MILLIS = 0.3;
    private static final double SILENCE_MILLIS = WorkerTimings.CALL_TIMEOUT_MILLIS;

    private final VirtualTime time;
    private final Random random;
    private final String name;
    private final Resources capacity;
    private final Checks checks;
    private final Map<RunRef, Running> running = new LinkedHashMap<>();
    private final Map<String, Integer> highest = new HashMap<>();
    private final List<RunList.Ended> ended = new ArrayList<>();
    private long bornMillis;
    private long fence;
    private long untilMillis;
    private long ends;
    private long sequence;
    private int starts;
    private boolean up = true;
    private boolean draining;
    private double slowness = 1;
    private double failing;
    private double lateOrders;
    private double lostLists;
    private boolean standing;
    private boolean oldOrdersArrive;
    private Runnable atStart = () -> {};
    private ToDoubleFunction<RunRequest> runMillis = RunRequest::expectedMillis;

    private record Running(RunRequest item, double endsMillis) {}

    FakeWorker(VirtualTime time, Random random, String name, Resources capacity, Checks checks) {
        this.time = time;
        this.random = random;
        this.name = name;
        this.capacity = capacity;
        this.checks = checks;
        this.bornMillis = time.nowMillis();
        time.every(5, this::expire);
    }

    /** Lets runs take other times than expected. */
    void runFor(ToDoubleFunction<RunRequest> millis) {
        runMillis = millis;
    }

    /** Lets orders to an earlier life reach a later one even before its first list. */
    void carryOutOldOrders() {
        oldOrdersArrive = true;
    }

    /** Does something whenever the worker starts again, before any order arrives. */
    void atStart(Runnable action) {
        atStart = action;
    }

    String name() {
        return name;
    }

    Resources capacity() {
        return capacity;
    }

    /** Counts the runs that were started in all lives. */
    int starts() {
        return starts;
    }

    void slow(double factor) {
        slowness = factor;
    }

    void fail(double share) {
        failing = share;
    }

    void answerLate(double share) {
        lateOrders = share;
    }

    /** Leaves a share of all calls unanswered, and carries orders among them out late. */
    void loseAnswers(double share) {
        lateOrders = share;
        lostLists = share;
    }

    void standStill(boolean stands) {
        standing = stands;
    }

    void drain(boolean leaves) {
        draining = leaves;
    }

    /** Loses all runs, and starts again after a while under the same id. */
    void crash(double downMillis) {
        if (!up) {
            return;
        }
        up = false;
        running.clear();
        checks.gone(name);
        time.after(downMillis, () -> {
            highest.clear();
            ended.clear();
            ends = 0;
            fence = 0;
            untilMillis = 0;
            sequence = 0;
            bornMillis = time.nowMillis();
            up = true;
            atStart.run();
        });
    }

    private long clockMillis() {
        return (long) (0.985 * (time.nowMillis() - bornMillis));
    }

    Optional<WorkerAnnouncement> announcement() {
        if (!up) {
            return Optional.empty();
        }
        sequence++;
        return Optional.of(new WorkerAnnouncement(
                new WorkerIncarnation(name, bornMillis),
                "service",
                sequence,
                capacity,
                List.of("a"),
                draining,
                clockMillis()));
    }

    void start(WorkerIncarnation life, RunRequest item, long token, long until, Consumer<StartReply> answer) {
        time.after(CALL_MILLIS, () -> {
            if (random.nextDouble() < lateOrders) {
                time.after(random.nextInt(500, 6_000), () -> start(life, item, token, until));
                time.after(SILENCE_MILLIS, () -> answer.accept(StartReply.UNANSWERED));
            } else if (!up) {
                answer.accept(StartReply.UNREACHABLE);
            } else {
                StartReply reply = start(life, item, token, until);
                time.after(CALL_MILLIS, () -> answer.accept(reply));
            }
        });
    }

    private StartReply start(WorkerIncarnation life, RunRequest item, long token, long until) {
        boolean listed = fence > 0 || oldOrdersArrive;
        if (!up || !listed || !life.id().equals(name)) {
            return StartReply.OTHER_LIFE;
        }
        if (token < fence) {
            return StartReply.FENCED;
        }
        fence = token;
        if (running.containsKey(item.ref())) {
            return StartReply.STARTED;
        }
        if (highest.getOrDefault(item.ref().task(), 0) >= item.ref().run()) {
            return StartReply.OUTDATED;
        }
        if (until <= clockMillis()) {
            return StartReply.REFUSED;
        }
        extend(until);
        highest.put(item.ref().task(), item.ref().run());
        starts++;
        running.put(item.ref(), new Running(item, time.nowMillis() + slowness * runMillis.applyAsDouble(item)));
        checks.started(name, item, taken(), capacity);
        return StartReply.STARTED;
    }

    private Resources taken() {
        Resources sum = Resources.NONE;
        for (Running run : running.values()) {
            sum = sum.plus(run.item().resources());
        }
        return sum;
    }

    private void extend(long until) {
        untilMillis = Math.max(untilMillis, Math.min(until, clockMillis() + 1_000));
    }

    void stop(WorkerIncarnation life, RunRef ref, long token, Consumer<StopReply> answer) {
        time.after(CALL_MILLIS, () -> {
            if (!up || random.nextDouble() < lateOrders) {
                time.after(SILENCE_MILLIS, () -> answer.accept(StopReply.UNANSWERED));
                return;
            }
            boolean fenced = token < fence;
            if (!fenced) {
                fence = token;
                highest.merge(ref.task(), ref.run(), Math::max);
                time.after(20, () -> end(ref, RunOutcome.STOPPED));
            }
            time.after(CALL_MILLIS, () -> answer.accept(fenced ? StopReply.FENCED : StopReply.CONFIRMED));
        });
    }

    void list(long token, long acknowledged, long until, int waitMillis, Consumer<Optional<RunList>> answer) {
        time.after(CALL_MILLIS, () -> {
            if (!up || random.nextDouble() < lostLists) {
                time.after(waitMillis + WorkerTimings.LIST_TIMEOUT_MILLIS, () -> answer.accept(Optional.empty()));
                return;
            }
            if (token < fence) {
                answer.accept(Optional.empty());
                return;
            }
            fence = token;
            if (until > 0) {
                extend(until);
            }
            ended.removeIf(end -> end.number() <= acknowledged);
            answerList(time.nowMillis() + waitMillis, answer);
        });
    }

    private void answerList(long untilTime, Consumer<Optional<RunList>> answer) {
        if (ended.isEmpty() && time.nowMillis() < untilTime) {
            time.after(1, () -> answerList(untilTime, answer));
            return;
        }
        List<RunList.Running> rows = new ArrayList<>();
        running.forEach((ref, run) -> rows.add(new RunList.Running(ref, "", percent(run))));
        RunList list = new RunList(bornMillis, clockMillis(), rows, ended);
        time.after(CALL_MILLIS, () -> answer.accept(Optional.of(list)));
    }

    private int percent(Running run) {
        double left = run.endsMillis() - time.nowMillis();
        return standing ? 0 : (int) Math.max(1, 100 - 100 * left / (slowness * runMillis.applyAsDouble(run.item())));
    }

    private void expire() {
        if (!up || running.isEmpty()) {
            return;
        }
        boolean lapsed = clockMillis() > untilMillis;
        for (RunRef ref : List.copyOf(running.keySet())) {
            if (lapsed) {
                end(ref, RunOutcome.LAPSED);
            } else if (!standing && running.get(ref).endsMillis() <= time.nowMillis()) {
                end(ref, random.nextDouble() < failing ? RunOutcome.FAILED : RunOutcome.DONE);
            }
        }
    }

    private void end(RunRef ref, RunOutcome ending) {
        if (running.remove(ref) == null) {
            return;
        }
        ends++;
        ended.add(new RunList.Ended(ends, ref, ending, ""));
        checks.ended(name, ref, ending);
    }
}
