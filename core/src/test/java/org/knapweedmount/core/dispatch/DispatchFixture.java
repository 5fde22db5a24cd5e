package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.cost.ServiceSpeeds;
import org.knapweedmount.core.cost.WorkerSpeed;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/** Creates jobs and workers for tests of the dispatch rules. */
final class DispatchFixture {
    static final WorkQueue QUEUE = new WorkQueue("q", "h", "/q/", "service", 0, 3, 1.6, 60, 1_500, false);

    private DispatchFixture() {}

    static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the costs of runs of an entry that has learnt nothing. */
    static RunCosts costs() {
        return new RunCosts(new DurationModel(), new WorkerViews(new DataCentreAccess()), DispatchSettings.DEFAULT);
    }

    /** Returns the shares of the queues of some jobs. */
    static QueueShares shares(List<TrackedJob> jobs, List<String> recentQueues) {
        Map<String, QueueLoad> loads = new HashMap<>();
        jobs.forEach(
                job -> job.countIn(loads.computeIfAbsent(job.request().queue().name(), name -> new QueueLoad())));
        return QueueShares.of(loads, recentQueues);
    }

    static JobStep step(int count, int milliCores, int estimateMillis) {
        return new JobStep(
                count,
                new Resources(milliCores, 64, 0),
                estimateMillis,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Integer.MAX_VALUE);
    }

    static JobRequest request(String id, JobStep... steps) {
        return new JobRequest(id, QUEUE, "spec", List.of(steps), millisToNanos(60_000));
    }

    /** Creates a job with one task from its arrival time and run time, in ms. */
    static TrackedJob job(String id, long arrivalMillis, int runMillis) {
        return new TrackedJob(request(id, step(1, 1_000, runMillis)), runMillis, millisToNanos(arrivalMillis));
    }

    static WorkerView worker(String name, int freeMilliCores, double slowdown) {
        return worker(name, freeMilliCores, slowdown, true);
    }

    /** Creates a worker whose agent tells other entries of changes at once. */
    static WorkerView otherEntriesWorker(String name, int freeMilliCores) {
        return worker(name, freeMilliCores, 1, false);
    }

    /** Creates a job with one task whose data is on a rack. */
    static TrackedJob jobWithData(String id, String rack, int runMillis) {
        JobStep step = new JobStep(
                1,
                new Resources(1_000, 64, 0),
                runMillis,
                List.of(),
                Optional.empty(),
                Optional.of(rack),
                Integer.MAX_VALUE);
        return new TrackedJob(request(id, step), runMillis, 0);
    }

    /** Creates a worker on a rack. */
    static WorkerView workerOnRack(String name, int freeMilliCores, String rack) {
        WorkerView view = worker(name, freeMilliCores, 1);
        WorkerReport known = view.report().orElseThrow();
        view.reportReceived(
                new WorkerReport(
                        1,
                        "service",
                        name,
                        List.of("a", rack),
                        known.capacity(),
                        known.free(),
                        true,
                        0,
                        0,
                        100,
                        true,
                        WorkerCondition.NORMAL),
                0);
        return view;
    }

    /** Creates a worker that is slow for some time after its start, in ms. */
    static WorkerView coldWorker(String name, int freeMilliCores, int coldMillis) {
        WorkerView view = worker(name, freeMilliCores, 1);
        WorkerReport warm = view.report().orElseThrow();
        view.reportReceived(
                new WorkerReport(
                        warm.timestampNanos(),
                        warm.service(),
                        warm.worker(),
                        warm.labels(),
                        warm.capacity(),
                        warm.free(),
                        warm.acceptsStarts(),
                        warm.lastOrderNumber(),
                        warm.otherBacklogCoreMillis(),
                        warm.slowdownPercent(),
                        warm.prompt(),
                        new WorkerCondition(WorkerCondition.Availability.OPEN, coldMillis, List.of())),
                0);
        return view;
    }

    /** Creates a worker whose runs have lasted a multiple of those of the median worker for some time. */
    static WorkerView lastingWorker(String name, int freeMilliCores, double ratio) {
        WorkerView view = worker(name, freeMilliCores, 1);
        WorkerSpeed median = new WorkerSpeed();
        WorkerSpeed other = new WorkerSpeed();
        for (int update = 0; update < 100; update++) {
            ServiceSpeeds.update(
                    List.of(
                            new ServiceSpeeds.Reported(view.speed(), ratio),
                            new ServiceSpeeds.Reported(median, 1),
                            new ServiceSpeeds.Reported(other, 1)),
                    List.of(view.speed(), median, other));
        }
        return view;
    }

    private static WorkerView worker(String name, int freeMilliCores, double slowdown, boolean prompt) {
        WorkerView view = new WorkerView(new Incarnation(name, 1), 0);
        Resources capacity = new Resources(16_000, 65_536, 0);
        Resources free = new Resources(freeMilliCores, 65_536, 0);
        view.reportReceived(
                new WorkerReport(
                        1,
                        "service",
                        name,
                        List.of("a", "r1"),
                        capacity,
                        free,
                        true,
                        0,
                        0,
                        (int) (100 * slowdown),
                        prompt,
                        WorkerCondition.NORMAL),
                0);
        view.updateRelativeSlowdown(1);
        return view;
    }
}
