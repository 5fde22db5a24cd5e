package org.knapweedmount.core.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/**
 * The answers of submissions that have ended, limited in number and total size; the oldest are evicted first.
 *
 * <p>Submissions that ended without a start are kept separately, so that many refusals do not evict results.
 */
final class EndedJobs {
    private final BoundedCache started;
    private final BoundedCache notRun;

    EndedJobs(int maxJobs, int maxBytes) {
        this.started = new BoundedCache(maxJobs, maxBytes);
        this.notRun = new BoundedCache(maxJobs, maxBytes);
    }

    void add(SubmissionId id, EndedJob job) {
        boolean mayHaveRun = job.answer().outcome().orElseThrow().mayHaveRun();
        (mayHaveRun ? notRun : started).remove(id);
        (mayHaveRun ? started : notRun).add(id, job);
    }

    Optional<EndedJob> find(SubmissionId id) {
        Optional<EndedJob> found = started.find(id);
        return found.isPresent() ? found : notRun.find(id);
    }

    private static final class BoundedCache {
        private final int maxJobs;
        private final int maxBytes;
        private final Map<SubmissionId, EndedJob> jobs = new LinkedHashMap<>();
        private long bytes;

        BoundedCache(int maxJobs, int maxBytes) {
            this.maxJobs = maxJobs;
            this.maxBytes = maxBytes;
        }

        Optional<EndedJob> find(SubmissionId id) {
            return Optional.ofNullable(jobs.get(id));
        }

        void add(SubmissionId id, EndedJob job) {
            remove(id);
            jobs.put(id, job);
            bytes += job.bytes();
            Iterator<EndedJob> oldest = jobs.values().iterator();
            while (jobs.size() > maxJobs || bytes > maxBytes) {
                bytes -= oldest.next().bytes();
                oldest.remove();
            }
        }

        void remove(SubmissionId id) {
            EndedJob removed = jobs.remove(id);
            if (removed != null) {
                bytes -= removed.bytes();
            }
        }
    }
}
