package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Resources;
import org.knapweedmount.core.evacuation.DataCentreAccess;
import org.knapweedmount.core.explain.AdmissionVerdict;
import org.knapweedmount.core.explain.Candidate;
import org.knapweedmount.core.explain.CandidateVerdict;
import org.knapweedmount.core.explain.Explanation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Guards against an explanation that differs from the decision, or changes it. */
class DecisionExplainerTest {
    private static final long NOW = DispatchFixture.millisToNanos(10);

    private final DispatcherFixture fixture = new DispatcherFixture();

    private Explanation explain(JobRequest request) {
        return fixture.dispatcher().status().explain(request, NOW);
    }

    @ParameterizedTest
    @CsvSource({
        "16000, 1, none, 10, SUITABLE",
        "500, 1, none, 10, NO_CAPACITY",
        "16000, 5, none, 10, TOO_SLOW",
        "16000, 1, other, 10, LABEL_MISSING",
        "16000, 1, a, 10, SUITABLE",
        "16000, 1, none, 60000, SILENT"
    })
    void verdictIsThatOfThePlacement(int free, double slowdown, String label, int millis, CandidateVerdict expected) {
        long nowNanos = DispatchFixture.millisToNanos(millis);
        WorkerView worker = DispatchFixture.worker("w", free, slowdown);
        Optional<String> requires = Optional.of(label).filter(text -> !text.equals("none"));
        JobStep step = new JobStep(
                1, new Resources(1_000, 64, 0), 300, List.of(), requires, Optional.empty(), Integer.MAX_VALUE);
        TrackedTask task = new TrackedJob(DispatchFixture.request("j", step), 300, nowNanos)
                .tasks()
                .get(0);
        QueueShares shares = DispatchFixture.shares(List.of(), List.of());
        RunCosts costs =
                new RunCosts(new DurationModel(), new WorkerViews(new DataCentreAccess()), DispatchSettings.DEFAULT);
        DataLocality data = new DataLocality(List.of(worker), costs, shares, 1, nowNanos);

        assertThat(DecisionExplainer.verdict(task, worker, shares, nowNanos), is(expected));
        Optional<WorkerView> chosen =
                Placement.choose(task, new FreeCapacities(List.of(worker), nowNanos), shares, data, 1, nowNanos);
        assertThat(chosen.isPresent(), is(expected == CandidateVerdict.SUITABLE));
    }

    @Test
    void tasksGoWhereTheExplanationSaysAndItSendsNothing() {
        JobRequest request = DispatchFixture.request(DispatcherFixture.JOB, DispatchFixture.step(6, 1_000, 300));
        int sentBefore = fixture.sent().size();

        Explanation explanation = explain(request);
        assertThat(fixture.sent(), hasSize(sentBefore));
        assertThat(fixture.events("job-admitted"), is(empty()));
        assertThat(fixture.dispatcher().status().unanswered(), is(0L));

        fixture.dispatcher().submit(request, NOW);
        assertThat(explanation.admission().verdict(), is(AdmissionVerdict.ADMITTED));
        assertThat(explanation.queuedTasks(), is(2));
        Candidate candidate = explanation.candidates().get(0);
        assertThat(candidate.tasks(), is(fixture.ordered().size()));
        assertThat(candidate.reportAgeMillis(), is(10L));
    }

    @Test
    void limitOfTasksPerWorkerIsKept() {
        JobStep step =
                new JobStep(3, new Resources(1_000, 64, 0), 300, List.of(), Optional.empty(), Optional.empty(), 1);

        assertThat(explain(DispatchFixture.request("j", step)).queuedTasks(), is(2));
    }

    /** The explanation of a refusal has to name the inputs that the log line of a real one has. */
    @Test
    void admissionIsExplainedAsItIsDecided() {
        List<JobRequest> jobs = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            jobs.add(DispatchFixture.request(String.format("%016x", number), DispatchFixture.step(4, 1_000, 300)));
        }
        Map<Boolean, AdmissionVerdict> verdicts =
                Map.of(true, AdmissionVerdict.ADMITTED, false, AdmissionVerdict.OVERLOADED);
        boolean refused = false;
        for (JobRequest job : jobs) {
            Explanation explanation = explain(job);
            fixture.dispatcher().submit(job, NOW);
            boolean admitted = fixture.answers(job.id()).isEmpty();
            refused = refused || !admitted;
            assertThat(explanation.admission().verdict(), is(verdicts.get(admitted)));
        }
        assertThat("some job is refused", refused, is(true));
        assertThat(
                explain(DispatchFixture.request("large", DispatchFixture.step(1, 64_000, 300)))
                        .admission()
                        .verdict(),
                is(AdmissionVerdict.TOO_LARGE));
        fixture.dispatcher().beginDrain(NOW);
        assertThat(explain(jobs.get(0)).admission().verdict(), is(AdmissionVerdict.LEAVING));
    }
}
