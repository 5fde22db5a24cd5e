package org.knapweedmount.daemon.http;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CallerHeadersTest {
    @Test
    void missingHeadersHaveDefaults() throws Exception {
        CallerHeaders headers = CallerHeaders.read(name -> null);

        assertThat(headers, is(new CallerHeaders(Optional.empty(), "default", "", false, false, 0, false, "")));
    }

    @ParameterizedTest
    @CsvSource({
        "Knapweedmount-Team, a/b",
        "Knapweedmount-Kind, ''",
        "Knapweedmount-At-Most-Once, yes",
        "Knapweedmount-Declared-Millis, -1",
        "Knapweedmount-Declared-Millis, 99999999",
    })
    void errorNamesTheHeader(String name, String value) {
        ParseException error = assertThrows(ParseException.class, () -> CallerHeaders.read(Map.of(name, value)::get));

        assertThat(error.getMessage(), containsString(name));
    }

    @ParameterizedTest
    @CsvSource({"k, , false, UNKNOWN", "k, true, false, NOT_RUN", ", , false, NOT_RUN", ", , true, UNKNOWN"})
    void refusalOfAPossibleRetryIsNotReportedAsNotRun(
            String key, String firstAttempt, boolean named, Outcome expected) {
        Outcome outcome =
                CallerHeaders.outcomeOfRefusal(name -> name.equals("Idempotency-Key") ? key : firstAttempt, named);

        assertThat(outcome, is(expected));
    }
}
