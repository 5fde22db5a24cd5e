package org.knapweedmount.daemon.runtime;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
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
    void droppedLinesAreReportedByEvent() {
        List<String> written = new CopyOnWriteArrayList<>();
        try (DecisionLog log = new DecisionLog(written::add)) {
            for (int line = 0; line < 42; line++) {
                log.logEvent("common", "line=" + line, TimeUnit.SECONDS.toNanos(100));
                log.logEvent("other", "line=" + line, TimeUnit.SECONDS.toNanos(100));
            }
            log.logEvent("common", "line=last", TimeUnit.SECONDS.toNanos(101));
        }

        assertThat(written, hasItem("event=lines-left-out count=4 events={common=2, other=2}"));
    }

    @Test
    void dropsOfTheLastSecondAreReportedAtTheEnd() {
        List<String> written = new CopyOnWriteArrayList<>();
        try (DecisionLog log = new DecisionLog(written::add)) {
            for (int line = 0; line < 41; line++) {
                log.logEvent("common", "line=" + line, TimeUnit.SECONDS.toNanos(100));
            }
        }

        assertThat(written, hasItem("event=lines-left-out count=1 events={common=1}"));
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
