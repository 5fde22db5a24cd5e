package org.knapweedmount.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;

/** Jobs of many tasks that are said to take hardly anything. */
class JobSizeRuleTest {
    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private void submit(String job, int tasks) {
        dispatcher.submit(DispatchFixture.request(job, DispatchFixture.step(tasks, 1, 1)), 0);
    }

    // A job of a million tasks took the heap before its work was estimated.
    @Test
    void jobOfTooManyTasksFailsAtOnce() {
        submit(JOB, DispatchSettings.DEFAULT.maxJobTasks() + 1);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.FAILED));
    }

    // Jobs of many small tasks were admitted without a bound on their sum.
    @Test
    void jobsWhoseTasksTogetherAreTooManyAreRefusedForLater() {
        DispatchSettings defaults = DispatchSettings.DEFAULT;
        int jobs = defaults.maxHeldTasks() / defaults.maxJobTasks();
        for (int i = 0; i < jobs; i++) {
            submit("job-" + i, defaults.maxJobTasks());
        }
        submit(JOB, 1);

        assertThat(fixture.answers("job-0"), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.NOT_RUN));
    }

    // A job was admitted whose orders no link carries, and waited until its caller had left.
    @Test
    void jobWithATextThatNoLinkCarriesFailsAtOnce() {
        JobRequest request = DispatchFixture.request(JOB, DispatchFixture.step(1, 1, 1));
        dispatcher.submit(withSpec("0123456789", request, "ü".repeat(8_192)), 0);
        dispatcher.submit(withSpec(JOB, request, "ü".repeat(8_192) + "x"), 0);

        assertThat(fixture.answers("0123456789"), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.FAILED));
    }

    private static JobRequest withSpec(String id, JobRequest request, String spec) {
        return new JobRequest(id, request.queue(), spec, request.steps(), request.deadlineNanos());
    }

    // The tasks of a job that is submitted again count once.
    @Test
    void jobThatIsSubmittedAgainIsNotRefusedForItsOwnTasks() {
        DispatchSettings defaults = DispatchSettings.DEFAULT;
        int jobs = defaults.maxHeldTasks() / defaults.maxJobTasks();
        for (int i = 0; i < jobs; i++) {
            submit("job-" + i, defaults.maxJobTasks());
        }
        submit("job-0", defaults.maxJobTasks());

        assertThat(fixture.answers("job-0"), is(empty()));
    }
}
