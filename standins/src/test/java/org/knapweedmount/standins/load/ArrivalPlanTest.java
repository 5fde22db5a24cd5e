package org.knapweedmount.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ArrivalPlanTest {
    private static final String MIX = "{\"flows\":["
            + "{\"name\":\"a\",\"service\":\"s\",\"kind\":\"k\",\"team\":\"t\",\"share\":0.75,\"run\":\"fixed(50)\"},"
            + "{\"name\":\"b\",\"service\":\"s\",\"kind\":\"k\",\"team\":\"t\",\"share\":2,\"run\":\"fixed(50)\","
            + "\"jobTasks\":3,\"declaredSigma\":1.0,\"fromSecond\":4,\"toSecond\":6}]}";

    @Test
    void eachFlowArrivesAtItsRateWithinItsWindow() throws ParseException {
        List<PlannedRequest> requests = requests(0, 1);
        List<PlannedRequest> burst = flow(requests, "b");
        assertThat((double) flow(requests, "a").size(), closeTo(7_500, 300));
        assertThat((double) burst.size(), closeTo(4_000, 200));
        assertThat(
                burst.stream().map(PlannedRequest::arrivalMicros).toList(),
                everyItem(is(both(greaterThanOrEqualTo(4_000_000L)).and(lessThan(6_000_000L)))));
    }

    @Test
    void requestsComeInOrderAndAreNumbered() throws ParseException {
        List<PlannedRequest> requests = requests(0, 1);
        for (int i = 1; i < requests.size(); i++) {
            assertThat(
                    requests.get(i).arrivalMicros(),
                    greaterThanOrEqualTo(requests.get(i - 1).arrivalMicros()));
            assertThat(requests.get(i).number(), is(i + 1L));
        }
    }

    @Test
    void theSeedDeterminesThePlan() throws ParseException {
        assertThat(requests(0.1, 7), is(requests(0.1, 7)));
        assertThat(requests(0.1, 7).equals(requests(0.1, 8)), is(false));
    }

    @Test
    void jobsDeclareInexactRunTimes() throws ParseException {
        PlannedRequest job = flow(requests(0, 1), "b").get(0);
        assertThat(job.tasks().size(), is(3));
        assertThat(job.tasks().stream().map(PlannedTask::declaredMillis).toList(), everyItem(is(greaterThan(0))));
        assertThat(flow(requests(0, 1), "a").get(0).tasks().get(0), is(new PlannedTask(50_000, 0)));
    }

    @Test
    void theGivenShareIsResubmitted() throws ParseException {
        List<PlannedRequest> requests = requests(0.1, 1);
        double resubmitted = requests.stream()
                .filter(request -> request.resubmitAfterMicros().isPresent())
                .count();
        assertThat(resubmitted / requests.size(), closeTo(0.1, 0.02));
    }

    private static List<PlannedRequest> requests(double resubmitShare, long seed) throws ParseException {
        ArrivalPlan plan = new ArrivalPlan(MixReader.parse(MIX), 1_000, 10, resubmitShare, seed);
        List<PlannedRequest> requests = new ArrayList<>();
        for (Optional<PlannedRequest> next = plan.next(); next.isPresent(); next = plan.next()) {
            requests.add(next.get());
        }
        return requests;
    }

    private static List<PlannedRequest> flow(List<PlannedRequest> requests, String name) {
        return requests.stream()
                .filter(request -> request.flow().name().equals(name))
                .toList();
    }
}
