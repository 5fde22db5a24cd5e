package org.knapweedmount.core.agent;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EndpointVerdictTest {
    @ParameterizedTest
    @CsvSource({
        "COMPLETE, NONE, 200, SUCCEEDED",
        "COMPLETE, NONE, 399, SUCCEEDED",
        "FAILED, TASK_FAILED, 400, NONE",
        "FAILED, TASK_FAILED, 499, NONE",
        "FAILED, TASK_FAILED, 500, FAILED",
        "FAILED, TASK_FAILED, 0, FAILED",
        "FAILED, TOO_LARGE, 200, NONE",
        "NOT_RUN, MALFORMED, 0, NONE",
        "NOT_RUN, ENDPOINT_UNREACHABLE, 0, FAILED",
        "UNKNOWN, CONNECTION_LOST, 0, FAILED",
        "UNKNOWN, TIMEOUT, 0, FAILED"
    })
    void onlyFaultsOfTheEndpointCountAsItsFailures(
            Outcome outcome, Reason reason, int status, EndpointVerdict verdict) {
        assertThat(EndpointVerdict.of(new TaskResult(outcome, reason, status, "", Payload.EMPTY)), is(verdict));
    }
}
