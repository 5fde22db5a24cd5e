package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.WorkQueue;

/** Makes jobs and workers for tests of the decisions about them. */
final class DispatchFixture {
    static final WorkQueue QUEUE = new WorkQueue("q", "h", "/q/", "service", 0, 3, 1.6, 60, 1_500, false);

    private DispatchFixture() {}

    static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
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
        return new JobRequest(id, QUEUE, "spec", List.of(steps), millis(60_000));
    }

    /** Makes a job that arrived at a time and whose tasks run for a time. */
    static WorkJob job(String id, long arrivalMillis, int runMillis) {
        return new WorkJob(request(id, step(1, 1_000, runMillis)), runMillis, millis(arrivalMillis));
    }

    static WorkerView worker(String name, int freeMilliCores, double slowness) {
        WorkerView view = new WorkerView(new Incarnation(name, 1), 0);
        Resources capacity = new Resources(16_000, 65_536, 0);
        Resources free = new Resources(freeMilliCores, 65_536, 0);
        view.reported(
                new WorkerReport(
                        1, "service", name, List.of("a", "r1"), capacity, free, true, 0, 0, (int) (100 * slowness)),
                0);
        view.compare(1);
        return view;
    }
}
