package org.knapweedmount.cli;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

class ExitCodeTest {
    @Test
    void exitCodesAreStable() {
        assertThat(
                Arrays.stream(ExitCode.values())
                        .map(code -> code + " " + code.code())
                        .toList(),
                contains(
                        "OK 0",
                        "USAGE 2",
                        "FAILED 3",
                        "NOT_RUN 4",
                        "UNKNOWN 5",
                        "CANNOT_CONNECT 6",
                        "REFUSED 7",
                        "PENDING 8"));
    }
}
