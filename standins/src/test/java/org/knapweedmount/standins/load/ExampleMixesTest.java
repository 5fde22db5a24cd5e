package org.knapweedmount.standins.load;

import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

class ExampleMixesTest {
    private static final int SLOTS = 88;
    private static final double RATE_PER_SECOND = 300;
    private static final double SECONDS = 20;
    private static final double MICROS_PER_SECOND = 1_000_000;

    @ParameterizedTest
    @ValueSource(strings = {"kerlann", "cuotas"})
    void loadBeforeTheBurstLeavesSlotsFree(String site) throws ParseException {
        Path mix = Path.of("..", "examples", site, "load.json");
        ArrivalPlan plan = new ArrivalPlan(MixReader.read(mix), RATE_PER_SECOND, SECONDS, 0, 1);
        long busyMicros = 0;
        for (var next = plan.next(); next.isPresent(); next = plan.next()) {
            busyMicros += next.get().longestRunMicros();
        }
        assertThat(busyMicros / MICROS_PER_SECOND, lessThan(0.7 * SLOTS * SECONDS));
    }
}
