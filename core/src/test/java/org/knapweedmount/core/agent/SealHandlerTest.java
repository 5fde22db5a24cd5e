package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.agent.AgentFixture.BALANCE;
import static org.knapweedmount.core.agent.AgentFixture.E1;
import static org.knapweedmount.core.agent.AgentFixture.E2;

class SealHandlerTest {
    private final AgentFixture fixture = new AgentFixture();

    SealHandlerTest() {
        fixture.link(E1, E2);
        fixture.announce("a", 100);
    }

    private TaskId start() {
        return fixture.send(E1, fixture.leases(E1).get(0), BALANCE, 0);
    }

    private static SealBatch batch(List<TaskId> tasks) {
        List<Seal> seals = new ArrayList<>();
        tasks.forEach(task -> seals.add(new Seal(seals.size() + 1, task.submission())));
        return new SealBatch(seals);
    }

    @Test
    void batchSealsEachSubmissionAndIsAnsweredInOneMessage() {
        TaskId running = start();
        TaskId unknown = fixture.newTask(E1);

        fixture.receive(E2, batch(List.of(running, unknown)));

        TaskReport report = new TaskReport(running, TaskState.RUNNING, Optional.empty());
        assertThat(
                fixture.output.take(E2, SealedBatch.class),
                contains(new SealedBatch(List.of(
                        new Sealed(1, running.submission(), true, List.of(report)),
                        new Sealed(2, unknown.submission(), true, List.of())))));
        fixture.output.takeStarted();
        fixture.receive(E1, fixture.start(E1, 1, unknown, BALANCE, 0));
        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
        assertThat(fixture.output.take(E1, NotStarted.class).get(0).reason(), is(Reason.SEALED));
    }

    @Test
    void answersWithLargeResultsGoInSeveralMessages() {
        TaskResult large =
                TaskResult.complete(200, "text/plain", Payload.of("x".repeat(SealHandler.BATCH_SPLIT_BYTES / 2)));
        List<TaskId> tasks = new ArrayList<>();
        List<Long> leases = fixture.leases(E1);
        for (int index = 0; index < 5; index++) {
            TaskId task = fixture.send(E1, leases.get(index), BALANCE, 0);
            fixture.end(task, large);
            tasks.add(task);
        }

        fixture.receive(E2, batch(tasks));

        List<Integer> sizes = fixture.output.take(E2, SealedBatch.class).stream()
                .map(answers -> answers.answers().size())
                .toList();
        assertThat(sizes, contains(2, 2, 1));
    }

    @Test
    void emptyBatchIsNotAnswered() {
        fixture.receive(E2, new SealBatch(List.of()));

        assertThat(fixture.output.take(E2, SealedBatch.class), is(empty()));
    }
}
