package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class EntryPropertyTest {
    private static final int STEPS = 400;

    private Random random;
    private ModelNetwork network;
    private List<Incarnation> entries;
    private long lastRequest;
    private long lastLease;
    private final Map<SubmissionId, JobSpec> jobs = new HashMap<>();
    private final Map<Long, JobSpec> requests = new HashMap<>();

    /** Messages and links are lost and reordered at random; no task runs too often, and every answer is correct. */
    @Property(tries = 300, seed = "20260101")
    void noTaskRunsTooOftenAndEveryAnswerIsCorrect(@ForAll @IntRange(min = 0) int seed) {
        random = new Random(seed);
        network = new ModelNetwork(random, 2, 3);
        entries = List.copyOf(network.entries.keySet());
        lastRequest = 0;
        jobs.clear();
        requests.clear();
        for (int step = 0; step < STEPS; step++) {
            step();
        }
        runToCompletion();
        check();
    }

    private void step() {
        switch (random.nextInt(24)) {
            case 0, 1, 2 -> submitNew();
            case 3, 4 -> resubmit();
            case 5 -> network.entries.get(randomEntry()).cancel(nextRequest(Optional.empty()), randomId(), network.now);
            case 6 ->
                network.entries
                        .get(randomEntry())
                        .status(nextRequest(Optional.empty()), randomId(), random.nextBoolean(), network.now);
            case 7, 8, 9 -> grant();
            case 10, 11 -> finishOne();
            case 12 -> network.breakLink();
            case 13 -> network.linkAll();
            case 14 -> restartAgentOrDiscardRecords();
            case 15 -> network.advance(random.nextInt(20) == 0 ? 5_000 : random.nextInt(200));
            case 16 -> runNextClaim();
            default -> network.deliver();
        }
    }

    private Incarnation randomEntry() {
        return entries.get(random.nextInt(entries.size()));
    }

    private long nextRequest(Optional<JobSpec> job) {
        lastRequest++;
        job.ifPresent(known -> requests.put(lastRequest, known));
        return lastRequest;
    }

    private SubmissionId randomId() {
        if (jobs.isEmpty()) {
            return network.entries.get(randomEntry()).issue(1).get(0);
        }
        List<SubmissionId> ids = new ArrayList<>(jobs.keySet());
        ids.sort((one, other) -> one.toString().compareTo(other.toString()));
        return ids.get(random.nextInt(ids.size()));
    }

    private JobSpec randomJob() {
        String kind = random.nextBoolean() ? EntryFixture.LOOKUP : EntryFixture.RESERVE;
        String[] bodies = new String[random.nextInt(3) == 0 ? 3 : 1];
        Arrays.fill(bodies, "body");
        return EntryFixture.job(kind, bodies);
    }

    private void submit(Incarnation entry, Optional<SubmissionId> id, Optional<String> key, JobSpec job) {
        long request = nextRequest(Optional.of(job));
        SubmissionRequest submission =
                new SubmissionRequest(id, key, false, EntryFixture.SERVICE, job, random.nextInt(5) > 0);
        network.entries.get(entry).submit(request, submission, network.now);
    }

    private void submitNew() {
        JobSpec job = randomJob();
        Incarnation entry = randomEntry();
        switch (random.nextInt(3)) {
            case 0 -> submit(entry, Optional.empty(), Optional.empty(), job);
            case 1 -> submit(entry, Optional.empty(), Optional.of("key-" + random.nextInt(10)), job);
            default -> {
                SubmissionId id = network.entries.get(entry).issue(1).get(0);
                jobs.put(id, job);
                submit(entry, Optional.of(id), Optional.empty(), job);
            }
        }
    }

    private void resubmit() {
        SubmissionId id = randomId();
        submit(randomEntry(), Optional.of(id), Optional.empty(), jobs.getOrDefault(id, randomJob()));
    }

    private void runNextClaim() {
        if (!network.claims.isEmpty()) {
            network.claims.remove().run();
        }
    }

    private ModelAgent randomAgent() {
        return network.agents.get(random.nextInt(network.agents.size()));
    }

    private void grant() {
        int count = 1 + random.nextInt(3);
        lastLease += count;
        Grant grant =
                new Grant(EntryFixture.SERVICE, lastLease, count, LeaseScope.ANY, Optional.empty(), random.nextInt(3));
        network.send(randomAgent(), randomEntry(), grant);
    }

    private void finishOne() {
        ModelAgent agent = randomAgent();
        List<TaskId> running = List.copyOf(agent.running.keySet());
        if (!running.isEmpty()) {
            TaskId task = running.get(random.nextInt(running.size()));
            Incarnation entry = agent.running.get(task);
            network.send(agent, entry, agent.finish(task));
        }
    }

    private void restartAgentOrDiscardRecords() {
        if (random.nextInt(3) == 0) {
            network.restartAgent();
        } else if (random.nextInt(3) == 0) {
            randomAgent().discardRecords();
        }
    }

    /** Restores the links and runs until every request is answered. */
    private void runToCompletion() {
        for (int round = 0; round < 60 || !allIdle(); round++) {
            assertThat("rounds until every request is answered", round, lessThanOrEqualTo(400));
            network.linkAll();
            while (!network.claims.isEmpty()) {
                runNextClaim();
            }
            grant();
            while (network.deliver()) {
                finishOne();
            }
            finishOne();
            network.advance(200);
        }
    }

    private boolean allIdle() {
        return network.entries.values().stream().allMatch(EntryCore::idle);
    }

    private void check() {
        assertThat(network.answers.keySet(), hasSize((int) lastRequest));
        network.executions.forEach(this::checkExecutions);
        network.answers.forEach(this::checkAnswer);
    }

    private void checkExecutions(TaskId task, int count) {
        JobSpec job = jobs.get(task.submission());
        boolean single = job == null || job.tasks().size() == 1;
        boolean repeatable = network.kinds.get(task).equals(EntryFixture.LOOKUP);
        assertThat("executions of " + task, count, is(lessThanOrEqualTo(single && repeatable ? 2 : 1)));
    }

    private void checkAnswer(long request, JobAnswer answer) {
        if (answer.submission().isEmpty() || answer.outcome().isEmpty()) {
            return;
        }
        SubmissionId id = answer.submission().get();
        if (answer.outcome().get() == Outcome.NOT_RUN) {
            assertThat(answer + " has executions", network.executedSubmissions().contains(id), is(false));
        }
        if (answer.outcome().get() == Outcome.COMPLETE) {
            List<TaskResult> expected = new ArrayList<>();
            JobSpec job = requests.getOrDefault(request, jobs.get(id));
            for (int i = 0; job != null && i < job.tasks().size(); i++) {
                expected.add(EntryFixture.complete(id.task(i).toString()));
            }
            assertThat(job == null ? List.of() : answer.results(), is(expected));
        }
    }
}
