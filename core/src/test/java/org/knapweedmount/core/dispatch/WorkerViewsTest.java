package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WorkerViewsTest {
    private final WorkerViews views = new WorkerViews(new DataCentreAccess());

    private WorkerView worker(String name, int slowdownPercent) {
        Resources capacity = new Resources(16_000, 1_000, 0);
        WorkerView view = views.link(new Incarnation(name, 1), 0);
        view.reportReceived(
                new WorkerReport(1, "service", name, List.of(), capacity, capacity, true, 0, 0, slowdownPercent, true),
                0);
        return view;
    }

    @ParameterizedTest
    @CsvSource({
        "100, 100, 100, 1.0", // all alike
        "100, 100, 140, 1.0", // within the error of declared run times
        "100, 100, 500, 5.0", // one is slow
        "500, 500, 500, 1.0", // all slow, for example if all declared run times are too short
        "200, 200, 600, 3.0", // relative to the median
        "0, 0, 100, 10.0" // no division by zero
    })
    void slowdownIsRelativeToTheMedianOfTheService(int first, int second, int third, double slowdown) {
        List<WorkerView> workers = new ArrayList<>();
        workers.add(worker("a", first));
        workers.add(worker("b", second));
        workers.add(worker("c", third));

        views.updateRelativeSlowdowns(0);

        assertThat(workers.get(2).relativeSlowdown(), is(slowdown));
    }
}
