package org.knapweedmount.daemon.runtime;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.core.metric.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ProcessLifecycleTest {
    private final ProcessLifecycle lifecycle = new ProcessLifecycle(Invariants.fatal());

    @ParameterizedTest
    @CsvSource({
        "'', STARTING, false",
        "STARTED, SERVING, false",
        "STARTED STOP_REQUESTED, DRAINING, true",
        "STOP_REQUESTED STARTED, DRAINING, true",
        "STARTED STOP_REQUESTED INTAKE_CLOSED, FINISHING, true",
        "STARTED STOP_REQUESTED INTAKE_CLOSED WORK_ENDED, CLOSING, true",
        "STARTED STOP_REQUESTED INTAKE_CLOSED TIME_LIMIT_REACHED, CLOSING, true",
        "STARTED STOP_REQUESTED TIME_LIMIT_REACHED INTAKE_CLOSED, CLOSING, true",
        "STARTED STOP_REQUESTED INTAKE_CLOSED WORK_ENDED CLOSED STOP_REQUESTED, STOPPED, true"
    })
    void eventsLeadToTheState(String events, ProcessState state, boolean stopping) {
        handleAll(events);

        assertThat(lifecycle.state(), is(state));
        assertThat(lifecycle.state().stopping(), is(stopping));
    }

    @ParameterizedTest
    @CsvSource({
        "STARTED, WORK_ENDED",
        "STARTED, INTAKE_CLOSED",
        "STARTED STOP_REQUESTED, WORK_ENDED",
        "STARTED STOP_REQUESTED INTAKE_CLOSED, CLOSED"
    })
    void processIsNotClosedBeforeItsWorkHasEnded(String events, ProcessEvent early) {
        handleAll(events);

        assertThrows(AssertionError.class, () -> lifecycle.handle(early));
    }

    @Test
    void onlyTheFirstRequestToStopChangesTheState() {
        lifecycle.handle(ProcessEvent.STARTED);

        assertThat(lifecycle.handle(ProcessEvent.STOP_REQUESTED), is(true));
        assertThat(lifecycle.handle(ProcessEvent.STOP_REQUESTED), is(false));
    }

    private void handleAll(String events) {
        Arrays.stream(events.split(" "))
                .filter(name -> !name.isEmpty())
                .map(ProcessEvent::valueOf)
                .forEach(lifecycle::handle);
    }
}
