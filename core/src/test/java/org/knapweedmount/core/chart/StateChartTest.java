package org.knapweedmount.core.chart;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.core.metric.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class StateChartTest {
    private static final String LAMP = """
            {"initial": "OFF", "events": ["SWITCHED", "TOUCHED"], "states": {
              "OFF": {"transitions": {"SWITCHED": "ON"}, "ignored": ["TOUCHED"]},
              "ON": {"transitions": {"SWITCHED": "OFF"}, "illegal": ["TOUCHED"]}}}
            """;

    private enum Lamp {
        OFF,
        ON
    }

    private enum Event {
        SWITCHED,
        TOUCHED
    }

    @Test
    void transitionsFollowTheFile() throws ChartException {
        StateChart<Lamp, Event> chart = parse(LAMP);
        Invariants invariants = Invariants.fatal();

        assertThat(chart.initial(), is(Lamp.OFF));
        assertThat(chart.next(Lamp.OFF, Event.SWITCHED, invariants), is(Lamp.ON));
        assertThat(chart.next(Lamp.ON, Event.SWITCHED, invariants), is(Lamp.OFF));
        assertThat(chart.next(Lamp.OFF, Event.TOUCHED, invariants), is(Lamp.OFF));
    }

    @Test
    void illegalEventIsAViolationAndChangesNothing() throws ChartException {
        Invariants invariants = Invariants.counting(statement -> {});

        assertThat(parse(LAMP).next(Lamp.ON, Event.TOUCHED, invariants), is(Lamp.ON));
        assertThat(invariants.violations(), is(1L));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            , "illegal": ["TOUCHED"] | `` | state ON does not handle [TOUCHED]
            "ignored": ["TOUCHED"] | "ignored": ["TOUCHED", "SWITCHED"] | state OFF handles SWITCHED twice
            {"SWITCHED": "ON"} | {"SWITCHED": "OFF"} | unreachable states: [ON]
            {"SWITCHED": "ON"} | {"SWITCHED": "DIM"} | 'DIM' is not a constant of Lamp
            {"SWITCHED": "ON"} | {"KICKED": "ON"} | 'KICKED' is not a constant of Event
            "initial": "OFF" | "initial": "DIM" | 'DIM' is not a constant of Lamp
            , "TOUCHED"], "states" | ], "states" | not declared: [TOUCHED]
            "initial" | "first" | first
            """)
    void invalidChartIsRejected(String part, String replacement, String problem) {
        String json = LAMP.replace(part, replacement);

        ChartException error = assertThrows(ChartException.class, () -> parse(json));

        assertThat(error.getMessage(), containsString(problem));
    }

    @Test
    void missingFileIsRejected() {
        assertThrows(ChartException.class, () -> StateChart.load("missing.json", Lamp.class, Event.class));
    }

    private static StateChart<Lamp, Event> parse(String json) throws ChartException {
        return StateChart.parse("lamp", json, Lamp.class, Event.class);
    }
}
