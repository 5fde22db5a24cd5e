package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class DispatcherEvacuationTest {
    private static final Incarnation NORTH = new Incarnation("agent-north", 1);
    private static final Incarnation SOUTH = new Incarnation("agent-south", 1);
    private static final int CAPACITY_MILLI_CORES = 8_000;

    /** Long enough for a job to be admitted while no worker accepts starts. */
    private static final int LONG_RUN_MILLIS = 2_000;

    private final Map<Incarnation, List<Message>> sent = new LinkedHashMap<>();
    private final Map<String, JobResult> answers = new LinkedHashMap<>();
    private final DataCentreAccess access = new DataCentreAccess();
    private final Dispatcher dispatcher = new Dispatcher(new Recorder(), access);
    private long version;

    @BeforeEach
    void linkAgents() {
        link(NORTH, "north");
        link(SOUTH, "south");
        report(NORTH, CAPACITY_MILLI_CORES, 0);
        report(SOUTH, CAPACITY_MILLI_CORES, 0);
    }

    private void link(Incarnation agent, String dataCentre) {
        access.agentLinked(new PeerAddress(agent, Role.AGENT, dataCentre, "127.0.0.1", 0));
        dispatcher.agentLinked(agent, 0);
    }

    private void report(Incarnation agent, int freeMilliCores, long millis) {
        WorkerReport report = new WorkerReport(
                DispatchFixture.millisToNanos(millis),
                "service",
                agent.process(),
                List.of(),
                new Resources(CAPACITY_MILLI_CORES, 65_536, 0),
                new Resources(freeMilliCores, 65_536, 0),
                true,
                99,
                0,
                100,
                true);
        dispatcher.receive(agent, report, DispatchFixture.millisToNanos(millis));
    }

    private void close(long millis, String... names) {
        version++;
        access.apply(new ClosedDataCentres(version, Set.of(names)), DispatchFixture.millisToNanos(millis));
    }

    private void submit(String id, int tasks, long millis) {
        submit(id, tasks, 300, millis);
    }

    private void submit(String id, int tasks, int runMillis, long millis) {
        JobRequest request = DispatchFixture.request(id, DispatchFixture.step(tasks, 1_000, runMillis));
        dispatcher.submit(
                request.dueBy(DispatchFixture.millisToNanos(millis + 60_000)), DispatchFixture.millisToNanos(millis));
    }

    private <T extends Message> List<T> sent(Incarnation agent, Class<T> type) {
        return sent.getOrDefault(agent, List.of()).stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private int ordered(Incarnation agent) {
        return sent(agent, RunOrder.class).stream()
                .flatMap(order -> order.jobs().stream())
                .mapToInt(job -> job.runs().size())
                .sum();
    }

    /** Guards against runs and demands that go to a closed data centre although its agents still report free capacity. */
    @Test
    void nothingIsOrderedFromAndNoDemandSentToAClosedDataCentre() {
        close(1, "north");
        submit("a", 10, 1);

        assertThat(ordered(NORTH), is(0));
        assertThat(ordered(SOUTH), is(8));
        dispatcher.tick(DispatchFixture.millisToNanos(30));
        assertThat(sent(NORTH, ResourceDemand.class), is(empty()));
        assertThat(sent(SOUTH, RunOrder.class).get(0).demand().queuedTasks(), is(1));
    }

    /** Guards against an agent that reserves capacity for an entry which does not answer, or which asks for more. */
    @Test
    void offerFromAClosedDataCentreIsDeclinedWithoutADemand() {
        close(1, "north", "south");
        submit("a", 2, LONG_RUN_MILLIS, 1);

        dispatcher.receive(NORTH, new ResourceOffer(5, new Resources(4_000, 4_000, 0)), 2_000_000);

        RunOrder declined = sent(NORTH, RunOrder.class).get(0);
        assertThat(declined.offer(), is(5L));
        assertThat(declined.jobs(), is(empty()));
        assertThat(declined.demand(), is(ResourceDemand.NONE));
    }

    /** Guards against jobs that are admitted for capacity in a closed data centre and then miss their targets. */
    @Test
    void closedDataCentreIsNotCountedInAdmission() {
        submit("a", 16, 1);
        submit("b", 8, 2);
        assertThat(answers.keySet(), is(empty()));

        close(3, "north");
        submit("c", 8, 4);
        assertThat(answers.get("c").kind(), is(JobResult.Kind.NOT_RUN));
    }

    /** Guards against an evacuation that stops the runs which are under way. */
    @Test
    void runsThatAreUnderWayAreNotStopped() {
        submit("a", 16, 1);
        close(2, "north");
        report(NORTH, 0, 30);
        dispatcher.tick(DispatchFixture.millisToNanos(50));

        assertThat(sent(NORTH, StopRuns.class), is(empty()));
        assertThat(answers.keySet(), is(empty()));
    }

    /** Guards against a rush of work to cold workers after the reopening. */
    @Test
    void aQuarterOfAReopenedWorkerIsUsedAtOnceAndAllOfItLater() {
        close(1, "north");
        close(10);
        submit("a", 16, 10);
        assertThat(ordered(NORTH), is(2));

        report(NORTH, 6_000, 1_000);
        assertThat(ordered(NORTH), is(2));

        report(NORTH, 6_000, 2_100);
        assertThat(ordered(NORTH), is(8));
    }

    /** Guards against offers that bring more work to a reopened worker than its first step admits. */
    @Test
    void offerOfAReopenedWorkerIsFilledUpToTheFirstStep() {
        close(1, "north", "south");
        submit("a", 16, LONG_RUN_MILLIS, 1);
        close(10);

        dispatcher.receive(
                NORTH,
                new ResourceOffer(5, new Resources(CAPACITY_MILLI_CORES, 4_000, 0)),
                DispatchFixture.millisToNanos(10));

        assertThat(ordered(NORTH), is(2));
    }

    private final class Recorder implements DispatchOutput {
        @Override
        public void send(Incarnation peer, Message message) {
            sent.computeIfAbsent(peer, key -> new ArrayList<>()).add(message);
        }

        @Override
        public void answer(String job, JobResult result) {
            answers.put(job, result);
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
