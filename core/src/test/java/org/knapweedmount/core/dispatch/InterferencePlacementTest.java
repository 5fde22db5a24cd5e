package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Replays the placement of a task beside runs of a kind that slows it down, without a network. */
class InterferencePlacementTest {
    private static final String QUEUE = DispatchFixture.QUEUE.name();
    private static final String OTHER = "neighbour";

    private final WorkerViews views = new WorkerViews(new DataCentreAccess());
    private final RunCosts costs = new RunCosts(new DurationModel(), views, DispatchSettings.DEFAULT);

    /** Adds a worker whose agent has found a pair, with the runs of the slowed kind and of the other one there. */
    private WorkerView worker(String name, int freeMilliCores, String kind, String neighbour, int kindRuns, int runs) {
        return worker(name, freeMilliCores, List.of(new KindInterference(kind, neighbour, 160, 500, kindRuns, runs)));
    }

    private WorkerView worker(String name, int freeMilliCores, List<KindInterference> pairs) {
        WorkerView view = views.link(new Incarnation(name, 1), 0);
        Resources capacity = new Resources(16_000, 65_536, 0);
        view.reportReceived(
                new WorkerReport(
                        1,
                        "service",
                        name,
                        List.of("a"),
                        capacity,
                        new Resources(freeMilliCores, 65_536, 0),
                        true,
                        0,
                        0,
                        100,
                        true,
                        WorkerCondition.NORMAL.withInterference(pairs)),
                0);
        return view;
    }

    private String choose() {
        views.updateRelativeSlowdowns(0);
        TrackedJob job = DispatchFixture.job("j", 0, 286);
        QueueShares shares = DispatchFixture.shares(List.of(job), List.of());
        List<WorkerView> workers = views.forService("service");
        DataLocality data = new DataLocality(workers, costs, shares, 1, 0);
        return Placement.choose(job.tasks().get(0), new FreeCapacities(workers, 0), shares, data, 1, 0)
                .map(worker -> worker.agent().process())
                .orElse("none");
    }

    /** Guards against a run beside a neighbour that slows it down while another worker has capacity. */
    @Test
    void taskIsKeptApartFromANeighbourThatSlowsItDown() {
        worker("beside", 14_000, QUEUE, OTHER, 0, 2);
        worker("apart", 8_000, QUEUE, OTHER, 0, 0);

        assertThat(choose(), is("apart"));
    }

    /** Guards against a run that slows down others, for which another entry pays. */
    @Test
    void taskIsKeptApartFromANeighbourThatItSlowsDown() {
        worker("beside", 14_000, OTHER, QUEUE, 2, 0);
        worker("apart", 8_000, OTHER, QUEUE, 0, 0);

        assertThat(choose(), is("apart"));
    }

    /** Guards against forgetting what this entry itself has placed since the last report. */
    @Test
    void ownRunsCountAsNeighbours() {
        WorkerView beside = worker("beside", 14_000, QUEUE, QUEUE, 0, 0);
        worker("apart", 8_000, QUEUE, QUEUE, 0, 0);
        TrackedTask own = DispatchFixture.job("own", 0, 286).tasks().get(0);
        beside.orderedTasks().put(own.name(), own);

        assertThat(choose(), is("apart"));
    }

    /** Guards against a pair that acts as a ban, so that capacity stays idle while a task waits. */
    @Test
    void taskRunsBesideItsNeighbourIfThereIsNoOtherCapacity() {
        worker("beside", 4_000, QUEUE, OTHER, 0, 2);
        worker("full", 900, QUEUE, OTHER, 0, 0);

        assertThat(choose(), is("beside"));
    }

    @Test
    void withoutAPairTheMostFreeCapacityDecides() {
        worker("most", 14_000, List.of());
        worker("less", 8_000, List.of());

        assertThat(choose(), is("most"));
    }

    /** Guards against a pair that counts for ever although no agent reports it any more. */
    @Test
    void pairEndsWithTheLastReportThatHasIt() {
        worker("beside", 14_000, QUEUE, OTHER, 0, 2);
        WorkerView other = worker("apart", 8_000, List.of());
        views.updateRelativeSlowdowns(0);
        assertThat(views.interference("service").slowdown(QUEUE, OTHER), is(1.6));

        views.find(new Incarnation("beside", 1)).ifPresent(WorkerView::unlink);
        other.unlink();
        views.updateRelativeSlowdowns(DispatchTimings.SLOWDOWN_UPDATE_INTERVAL_NANOS);

        assertThat(views.interference("service").isEmpty(), is(true));
    }
}
