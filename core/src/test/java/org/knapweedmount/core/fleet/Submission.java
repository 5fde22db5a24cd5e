package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskSpec;

/** One submission of a caller, with all answers to it. */
final class Submission {
    private static final int MAX_TASKS = 5;
    private static final int MIN_RUN_MILLIS = 20;
    private static final int RUN_SPREAD_MILLIS = 150;
    private static final int LONG_RUN_MILLIS = 2_000;
    private static final double LONG_SHARE = 0.02;

    private final JobSpec job;
    private final Optional<SubmissionId> id;
    private final String key;
    private final List<JobAnswer> answers = new ArrayList<>();
    private boolean refusedAfterStart;
    private boolean firstAttemptAbandoned;

    Submission(int number, Optional<SubmissionId> id, Random random) {
        this.key = "key-" + number;
        this.id = id;
        this.job = job(number, random);
    }

    private static JobSpec job(int number, Random random) {
        int count = 1 + random.nextInt(MAX_TASKS);
        String kind = random.nextBoolean() ? FakeFleet.REPEATABLE : FakeFleet.ONCE;
        List<TaskSpec> tasks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String path = "/job/" + number + "/" + index;
            tasks.add(new TaskSpec(kind, "POST", path, "", Payload.EMPTY, runMillis(random), Resources.NONE));
        }
        return new JobSpec(FakeFleet.TEAM, random.nextInt(4) == 0, tasks);
    }

    private static int runMillis(Random random) {
        boolean isLong = random.nextDouble() < LONG_SHARE;
        return isLong ? LONG_RUN_MILLIS : MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS);
    }

    /** Submits or resubmits the job; for a caller's own key, each answer is compared with the starts logged by then. */
    void send(FakeEntry entry, boolean first, StartLog log) {
        if (id.isPresent()) {
            entry.submit(id.get(), job, this::answered);
            return;
        }
        firstAttemptAbandoned |= !first;
        entry.submit(key, first, job, answer -> answeredUnderOwnKey(first, answer, log));
    }

    private void answered(JobAnswer answer) {
        answers.add(answer);
    }

    /** Ignores the answer to the first attempt if the caller has abandoned it by sending its own key again. */
    private void answeredUnderOwnKey(boolean first, JobAnswer answer, StartLog log) {
        if (first && firstAttemptAbandoned) {
            return;
        }
        answers.add(answer);
        refusedAfterStart |= isNotRun(answer) && started(log);
    }

    private static boolean isNotRun(JobAnswer answer) {
        return answer.outcome().equals(Optional.of(Outcome.NOT_RUN));
    }

    private boolean started(StartLog log) {
        return job.tasks().stream().anyMatch(task -> log.starts(task.path()) > 0);
    }

    void cancel(FakeEntry entry) {
        id.ifPresent(submission -> entry.cancel(submission, answer -> {}));
    }

    boolean ended(Outcome outcome) {
        return answers.stream().anyMatch(answer -> answer.outcome().equals(Optional.of(outcome)));
    }

    /** Returns the reason and detail of each answer with an outcome. */
    List<String> reasons(Outcome outcome) {
        return answers.stream()
                .filter(answer -> answer.outcome().equals(Optional.of(outcome)))
                .map(answer -> answer.reason() + ": " + answer.detail())
                .toList();
    }

    /** Returns the contradictions between the answers and the starts logged by the executors. */
    List<String> violations(StartLog log) {
        List<String> violations = new ArrayList<>();
        int allowed = repeatable() ? 2 : 1;
        for (TaskSpec task : job.tasks()) {
            if (log.starts(task.path()) > allowed) {
                violations.add(task.path() + " was started " + log.starts(task.path()) + " times");
            }
        }
        boolean contradicted = id.isPresent() ? started(log) && ended(Outcome.NOT_RUN) : refusedAfterStart;
        if (contradicted) {
            violations.add(key + " was answered not-run, but was started: " + answers);
        }
        answers.stream()
                .filter(this::isWrong)
                .forEach(answer -> violations.add(key + " got a wrong answer: " + answer));
        return violations;
    }

    private boolean repeatable() {
        TaskSpec first = job.tasks().get(0);
        boolean single = job.tasks().size() == 1;
        return single && !job.atMostOnce() && first.kind().equals(FakeFleet.REPEATABLE);
    }

    private boolean isWrong(JobAnswer answer) {
        if (!answer.outcome().equals(Optional.of(Outcome.COMPLETE))) {
            return false;
        }
        List<Payload> expected =
                job.tasks().stream().map(task -> Payload.of(task.path())).toList();
        List<Payload> given =
                answer.results().stream().map(result -> result.body()).toList();
        return !given.equals(expected);
    }
}
