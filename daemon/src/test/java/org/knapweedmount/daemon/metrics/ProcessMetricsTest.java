package org.knapweedmount.daemon.metrics;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.core.agent.AgentCounter;
import org.knapweedmount.core.dispatch.JobLatencies;
import org.knapweedmount.core.dispatch.WaitReason;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.core.metric.MillisHistogram;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

class ProcessMetricsTest {
    private final ProcessMetrics metrics = new ProcessMetrics();

    @Test
    void countersAreReadOnScrapeAfterAGarbageCollection() {
        Counters<AgentCounter> counters = new Counters<>(AgentCounter.class);
        metrics.counters("agent", AgentCounter.class, counters);
        System.gc();

        counters.add(AgentCounter.DUPLICATE_STARTS, 3);

        assertThat(metrics.scrape(), containsString("\nknapweedmount_agent_duplicate_starts_total 3.0\n"));
    }

    @Test
    void violationsAndRefusedEventsAreShown() {
        Invariants invariants = Invariants.counting(statement -> {});
        DecisionLoop<String> loop = new DecisionLoop<>("decisions", 2, NanoClock.SYSTEM);
        metrics.invariants(invariants);
        metrics.decisions(loop);

        invariants.check(false, "expected by this test");
        loop.offer((core, nowNanos) -> {});
        loop.offer((core, nowNanos) -> {});
        loop.offer((core, nowNanos) -> {});

        assertThat(metrics.scrape(), containsString("\nknapweedmount_invariant_violations_total 1.0\n"));
        assertThat(metrics.scrape(), containsString("\nknapweedmount_decisions_waiting 2.0\n"));
        assertThat(metrics.scrape(), containsString("\nknapweedmount_decisions_refused_total 1.0\n"));
    }

    @Test
    void latenciesOfJobsAreShown() {
        metrics.jobs(new JobLatencies());

        assertThat(
                metrics.scrape(),
                containsString("\nknapweedmount_jobs_within_millis_total{kind=\"completed\",le=\"200\"} 0.0\n"));
    }

    // Without the reason and the length of waits, nobody could tell what the wait for other entries adds.
    @Test
    void waitsAreShownByReasonAndLength() {
        MillisHistogram<WaitReason> waits = new MillisHistogram<>(WaitReason.class, List.of(50, 100));
        metrics.waits(waits);

        waits.record(WaitReason.UNLINKED_ENTRY, 50);
        waits.record(WaitReason.UNLINKED_ENTRY, 51);
        waits.record(WaitReason.UNLINKED_ENTRY, 101);

        String scraped = metrics.scrape();
        String prefix = "\nknapweedmount_waits_within_millis_total{le=";
        assertThat(scraped, containsString(prefix + "\"50\",reason=\"unlinked_entry\"} 1.0\n"));
        assertThat(scraped, containsString(prefix + "\"100\",reason=\"unlinked_entry\"} 2.0\n"));
        assertThat(scraped, containsString(prefix + "\"+Inf\",reason=\"unlinked_entry\"} 3.0\n"));
        assertThat(scraped, containsString(prefix + "\"+Inf\",reason=\"linked_entry\"} 0.0\n"));
    }

    @Test
    void memoryAndProcessorTimeAreShown() {
        assertThat(metrics.scrape(), containsString("\nknapweedmount_processor_millis_total "));
        assertThat(metrics.scrape(), containsString("\nknapweedmount_memory_direct_bytes "));
        assertThat(metrics.scrape(), containsString("\nknapweedmount_memory_resident_bytes "));
        assertThat(metrics.scrape(), containsString("\nknapweedmount_memory_heap_used_bytes "));
    }
}
