package org.knapweedmount.core.dispatch;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AdmissionRuleTest {
    private static Optional<Integer> retryAfterMillis(double coreMillisAhead, double queuedCoreMillis, double cores) {
        TrackedJob job = DispatchFixture.job("j", 0, 100); // target 220 ms, expires after 660 ms
        return AdmissionRule.retryAfterMillis(job, coreMillisAhead, queuedCoreMillis, cores, 0);
    }

    @ParameterizedTest
    @CsvSource({"0, true", "5_000, true", "10_200, true", "10_300, false", "90_000, false"})
    void jobIsRefusedWhenTheWorkAheadMakesItMissItsTarget(String coreMillis, boolean admitted) {
        double work = Double.parseDouble(coreMillis.replace("_", ""));

        assertThat(retryAfterMillis(work, work, 100).isEmpty(), is(admitted));
    }

    @Test
    void retryTimeIsTheTimeToDrainTheQueue() {
        assertThat(retryAfterMillis(500_000, 800_000, 100), is(Optional.of(8_000)));
    }

    @ParameterizedTest
    @CsvSource({"25_000, 1_000", "90_000_000, 30_000"})
    void retryTimeIsBounded(String coreMillis, String retryMillis) {
        double queued = Double.parseDouble(coreMillis.replace("_", ""));

        assertThat(
                retryAfterMillis(queued, queued, 100), is(Optional.of(Integer.parseInt(retryMillis.replace("_", "")))));
    }

    @Test
    void withoutWorkersOnlyJobsThatCanWaitAreAdmitted() {
        TrackedJob longJob = DispatchFixture.job("long", 0, 1_286);

        assertThat(retryAfterMillis(0, 0, 0), is(Optional.of(1_000)));
        assertThat(AdmissionRule.retryAfterMillis(longJob, 0, 0, 0, 0), is(Optional.empty()));
    }

    @Test
    void jobThatCannotBeDoneBeforeItsDeadlineIsRefused() {
        JobRequest request = new JobRequest(
                "j",
                DispatchFixture.QUEUE,
                "spec",
                DispatchFixture.request("j", DispatchFixture.step(1, 1_000, 100))
                        .steps(),
                DispatchFixture.millisToNanos(90));

        assertThat(
                AdmissionRule.retryAfterMillis(new TrackedJob(request, 100, 0), 0, 0, 100, 0), is(Optional.of(1_000)));
    }
}
