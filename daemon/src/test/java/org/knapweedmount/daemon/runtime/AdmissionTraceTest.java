package org.knapweedmount.daemon.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.JobRequest;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.dispatch.JobStep;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class AdmissionTraceTest {
    private static final Incarnation AGENT = new Incarnation("agent", 1);
    private static final Incarnation PEER = new Incarnation("peer", 2);
    private static final Resources CAPACITY = new Resources(100_000_000, 100_000_000, 0);
    private static final WorkQueue QUEUE = new WorkQueue("q", "h", "/q/", "service", 0, 3, 1.6, 60, 60_000, false);
    private static final Pattern JOB = Pattern.compile("\\b[0-9a-f]{16}\\b");
    private static final int SECONDS = 2;
    private static final int MAX_LINES_PER_SECOND = 35;
    private static final int TICK_MILLIS = 25;
    private static final int REPORT_MILLIS = 100;

    private final BlockingQueue<String> written = new LinkedBlockingQueue<>();
    private final Map<String, Set<String>> jobsByEvent = new HashMap<>();
    private final Map<String, Integer> linesByEvent = new HashMap<>();

    private static long microsToNanos(long micros) {
        return TimeUnit.MICROSECONDS.toNanos(micros);
    }

    private static String jobId(long number) {
        return String.format("%016x", number);
    }

    private static JobRequest request(String job) {
        JobStep step = new JobStep(
                1, new Resources(1_000, 64, 0), 300, List.of(), Optional.empty(), Optional.empty(), Integer.MAX_VALUE);
        return new JobRequest(job, QUEUE, "spec", List.of(step), TimeUnit.SECONDS.toNanos(60));
    }

    /** Submits jobs at a rate and returns the IDs of all jobs, in the log of an entry with one other entry. */
    private Set<String> play(int jobsPerSecond) throws InterruptedException {
        Set<String> jobs = new HashSet<>();
        try (DecisionLog log = new DecisionLog(written::add)) {
            LoggingOutput output = new LoggingOutput(log);
            Dispatcher dispatcher = new Dispatcher(output, new DataCentreAccess());
            dispatcher.agentLinked(AGENT, 0);
            dispatcher.entryLinked(PEER, 0);
            dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
            int submitted = 0;
            for (int millis = 0; millis < SECONDS * 1_000; millis++) {
                output.nowNanos = TimeUnit.MILLISECONDS.toNanos(millis);
                for (OwnershipProbe probe : output.takeProbes()) {
                    dispatcher.receive(PEER, new OwnershipProbeReply(probe.number()), output.nowNanos);
                }
                if (millis % REPORT_MILLIS == 0) {
                    RunsEnded ended = new RunsEnded(output.ends);
                    output.ends.clear();
                    dispatcher.receive(AGENT, ended, output.nowNanos);
                    dispatcher.receive(
                            AGENT,
                            new WorkerReport(
                                    1 + millis, "service", "w", List.of(), CAPACITY, CAPACITY, true, 9, 0, 100, true),
                            output.nowNanos);
                }
                for (; submitted * 1_000 < jobsPerSecond * (millis + 1); submitted++) {
                    jobs.add(jobId(submitted));
                    output.nowNanos = microsToNanos(submitted * 1_000_000L / jobsPerSecond);
                    dispatcher.submit(request(jobId(submitted)), output.nowNanos);
                }
                if (millis % TICK_MILLIS == 0) {
                    dispatcher.tick(output.nowNanos);
                }
            }
            output.nowNanos = TimeUnit.SECONDS.toNanos(SECONDS) + TimeUnit.MILLISECONDS.toNanos(2 * TICK_MILLIS);
            dispatcher.tick(output.nowNanos);
            long events =
                    log.counts().values().stream().mapToLong(Long::longValue).sum();
            readLines(events - log.droppedLines());
        }
        return jobs;
    }

    /** Waits for lines of the writer thread, but for those that tell which lines were dropped. */
    private void readLines(long count) throws InterruptedException {
        for (long read = 0; read < count; ) {
            String line = written.take();
            String event = line.substring("event=".length(), line.indexOf(' '));
            if (event.equals("lines-left-out")) {
                continue;
            }
            read++;
            linesByEvent.merge(event, 1, Integer::sum);
            Matcher matcher = JOB.matcher(line);
            Set<String> jobs = jobsByEvent.computeIfAbsent(event, key -> new HashSet<>());
            while (matcher.find()) {
                jobs.add(matcher.group());
            }
        }
    }

    private Set<String> missing(Set<String> jobs, String... events) {
        Set<String> missing = new HashSet<>(jobs);
        for (String event : events) {
            missing.removeAll(jobsByEvent.getOrDefault(event, Set.of()));
        }
        return missing;
    }

    // The log keeps 40 lines a second of an event, so that most jobs of a busy second had no line of their admission.
    @Test
    void eachAdmittedAndOrderedJobIsInTheLogUnderLoad() throws InterruptedException {
        Set<String> jobs = play(500);

        assertThat(missing(jobs, "job-admitted", "jobs-admitted"), is(empty()));
        assertThat(missing(jobs, "runs-ordered"), is(empty()));
    }

    // 130,000 starts a second over 56 entries are 2,320 jobs of one task at each (CAPACITY.md).
    @Test
    void linesStayWithinTheRateLimitAtThePeakOfAnEntry() throws InterruptedException {
        Set<String> jobs = play(2_320);

        assertThat(missing(jobs, "job-admitted", "jobs-admitted"), is(empty()));
        assertThat(missing(jobs, "runs-ordered"), is(empty()));
        assertThat(linesByEvent.get("jobs-admitted"), is(lessThanOrEqualTo(MAX_LINES_PER_SECOND * SECONDS + 1)));
        assertThat(linesByEvent.get("runs-ordered"), is(lessThanOrEqualTo(MAX_LINES_PER_SECOND * SECONDS + 1)));
    }

    private static final class LoggingOutput implements DispatchOutput {
        private final DecisionLog log;
        private final List<RunResult> ends = new ArrayList<>();
        private final List<OwnershipProbe> probes = new ArrayList<>();
        private long nowNanos;

        private LoggingOutput(DecisionLog log) {
            this.log = log;
        }

        private List<OwnershipProbe> takeProbes() {
            List<OwnershipProbe> taken = List.copyOf(probes);
            probes.clear();
            return taken;
        }

        @Override
        public void send(Incarnation peer, Message message) {
            if (message instanceof OwnershipProbe probe) {
                probes.add(probe);
            }
            if (message instanceof RunOrder order) {
                order.jobs().stream()
                        .flatMap(runs -> runs.runs().stream())
                        .forEach(run -> ends.add(new RunResult(run.ref(), RunOutcome.DONE, 100, "")));
            }
        }

        @Override
        public void answer(String job, JobResult result) {
            assertThat(result.kind(), is(JobResult.Kind.COMPLETED));
        }

        @Override
        public void logEvent(String event, String detail) {
            log.logEvent(event, detail, nowNanos);
        }
    }
}
