package org.knapweedmount.standins.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.worker.RunList;
import org.knapweedmount.core.worker.WorkerAnnouncement;
import org.knapweedmount.core.worker.WorkerIncarnation;

/** A worker that runs what it is told to and answers each call. */
final class ModelWorker {
    private static final long START_MILLIS = 1;
    private static final double CALL_MILLIS = 1;
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);

    private final VirtualTime time;
    private final WorkerIncarnation incarnation;
    private final Map<RunRef, RunRequest> running = new LinkedHashMap<>();
    private final List<RunList.Ended> ended = new ArrayList<>();
    private Optional<Runnable> waitingList = Optional.empty();
    private long sequence;
    private long lastEnd;
    private long lists;

    ModelWorker(VirtualTime time, String name) {
        this.time = time;
        this.incarnation = new WorkerIncarnation(name, START_MILLIS);
    }

    WorkerAnnouncement announcement() {
        sequence++;
        return new WorkerAnnouncement(
                incarnation, SiteModel.SERVICE, sequence, CAPACITY, List.of("a", "r1"), false, time.millis());
    }

    void start(RunRequest request, Runnable answer) {
        time.after(CALL_MILLIS, () -> {
            running.put(request.ref(), request);
            time.after(request.expectedMillis(), () -> end(request.ref(), RunOutcome.DONE));
            answer.run();
        });
    }

    void stop(RunRef ref, Runnable answer) {
        time.after(CALL_MILLIS, () -> {
            end(ref, RunOutcome.STOPPED);
            answer.run();
        });
    }

    private void end(RunRef ref, RunOutcome outcome) {
        if (running.remove(ref) == null) {
            return;
        }
        lastEnd++;
        ended.add(new RunList.Ended(lastEnd, ref, outcome, ""));
        waitingList.ifPresent(Runnable::run);
    }

    /** Answers with the present runs at the next end, or when the time to wait is over. */
    void list(long acknowledged, int waitMillis, Consumer<RunList> answer) {
        long number = ++lists;
        time.after(CALL_MILLIS, () -> {
            ended.removeIf(row -> row.number() <= acknowledged);
            Runnable reply = () -> {
                waitingList = Optional.empty();
                RunList list = new RunList(START_MILLIS, time.millis(), runningRows(), ended);
                time.after(CALL_MILLIS, () -> answer.accept(list));
            };
            if (!ended.isEmpty() || waitMillis == 0) {
                reply.run();
                return;
            }
            waitingList = Optional.of(reply);
            time.after(waitMillis, () -> {
                if (number == lists) {
                    waitingList.ifPresent(Runnable::run);
                }
            });
        });
    }

    private List<RunList.Running> runningRows() {
        return running.keySet().stream()
                .map(ref -> new RunList.Running(ref, "", 0))
                .toList();
    }
}
