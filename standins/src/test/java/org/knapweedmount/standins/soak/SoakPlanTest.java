package org.knapweedmount.standins.soak;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class SoakPlanTest {
    private static final int ENTRIES = 4;

    private static SoakOptions options(FaultSeries series) {
        return SoakOptions.of(7, 60, ENTRIES, 6, ".").series(series.name());
    }

    /** A seed that is run again on other programs has to bring the same faults. */
    @ParameterizedTest
    @EnumSource
    void aSeedDrawsTheSameFaultsAgain(FaultSeries series) {
        assertThat(SoakPlan.draw(options(series)), is(SoakPlan.draw(options(series))));
    }

    /** Recorded seeds of soaks without aimed series have to keep their faults. */
    @Test
    void aSoakWithoutAnAimedSeriesHasOnlyFaultsThatAreDrawnAlone() {
        assertThat(SoakPlan.draw(options(FaultSeries.NONE)), is(Fault.draw(7, 60_000)));
    }

    /** If its own callers were reset too, they would not find the new entry without the other entries' jobs. */
    @Test
    void theCallersOfAllEntriesButTheNewOneAreReset() {
        List<Fault> faults = FaultSeries.NEW_ENTRY.draw(new FaultSeries.Draw(new Random(3), 0, ENTRIES, 6));
        int killed = faults.stream()
                .filter(fault -> fault.kind() == FaultKind.KILL)
                .findFirst()
                .orElseThrow()
                .target();
        Set<Integer> reset = faults.stream()
                .filter(fault -> fault.kind() == FaultKind.CALLERS_RESET)
                .map(Fault::target)
                .collect(Collectors.toSet());
        assertThat(reset.size(), is(ENTRIES - 1));
        assertThat(reset, not(hasItem(killed)));
    }

    /** A number that selected other links than it was made for would aim a series at the wrong place. */
    @Test
    void theNumberOfAFaultSelectsTheLinksThatItWasMadeFor() {
        assertThat(EntryLinks.of(EntryLinks.number(3, 2, ENTRIES), ENTRIES).entry(), is(3));
        assertThat(EntryLinks.of(EntryLinks.number(3, 2, ENTRIES), ENTRIES).others(), contains(2));
        assertThat(EntryLinks.of(EntryLinks.number(3, 3, ENTRIES), ENTRIES).others(), contains(1, 2, 4));
    }
}
