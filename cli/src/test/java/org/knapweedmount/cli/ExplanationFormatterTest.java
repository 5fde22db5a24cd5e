package org.knapweedmount.cli;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

class ExplanationFormatterTest {
    /** A renamed field of the response would leave its column empty without an error. */
    @Test
    void eachTermIsShown() {
        String text =
                ExplanationFormatter.format(JsonText.parse("{\"queue\":\"q1\",\"service\":\"s1\",\"queuedTasks\":2,"
                        + "\"waitingRequests\":3,\"admission\":{\"verdict\":\"OVERLOADED\",\"aheadCoreMillis\":1234.4,\"share\":0.25,"
                        + "\"ownCoreMillis\":800,\"elsewhereCoreMillis\":700,\"cores\":64,\"chainMillis\":86,\"retryAfterMillis\":1000},"
                        + "\"candidates\":[{\"agent\":\"side-1\",\"verdict\":\"NO_CAPACITY\",\"tasks\":0,\"reportAgeMillis\":41,"
                        + "\"free\":{\"milliCores\":500,\"memoryMb\":64,\"accelerators\":0},"
                        + "\"needed\":{\"milliCores\":5500,\"memoryMb\":128,\"accelerators\":1},\"reportedSlowdown\":1.25,"
                        + "\"relativeSlowdown\":1,\"nearData\":true,\"prompt\":false,\"sampled\":true}]}"));

        assertThat(
                text,
                containsString("q1     s1       OVERLOADED  1234   0.25   800  700        64.00  86        1000"));
        assertThat(
                text,
                containsString(
                        "side-1  NO_CAPACITY  0      41      500/64/0  5500/128/1  1.25      1.00      true  false   true"));
        assertThat(text, containsString("2 tasks would wait for capacity; 3 requests wait"));
    }
}
