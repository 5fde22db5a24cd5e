package org.knapweedmount.daemon.runtime;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class DecisionLogTest {
    @Test
    void linesBeyondTheRateLimitAreDroppedButTheEventsAreCounted() {
        try (DecisionLog log = new DecisionLog("test")) {
            long nowNanos = TimeUnit.SECONDS.toNanos(100);
            for (int line = 0; line < 100; line++) {
                log.logEvent("common", "line=" + line, nowNanos);
            }
            log.logEvent("rare", "line=1", nowNanos);

            assertThat(log.droppedLines(), is(60L));
            assertThat(log.counts(), is(Map.of("common", 100L, "rare", 1L)));
        }
    }

    @Test
    void rateLimitIsForEachSecond() {
        try (DecisionLog log = new DecisionLog("test")) {
            for (int second = 100; second < 103; second++) {
                for (int line = 0; line < 40; line++) {
                    log.logEvent("common", "line=" + line, TimeUnit.SECONDS.toNanos(second));
                }
            }

            assertThat(log.droppedLines(), is(0L));
        }
    }
}
