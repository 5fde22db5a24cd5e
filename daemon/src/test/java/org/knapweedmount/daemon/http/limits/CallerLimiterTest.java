package org.knapweedmount.daemon.http.limits;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.daemon.metrics.ProcessMetrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

class CallerLimiterTest {
    /** Operators could not see what callers hold and why they were refused. */
    @Test
    void metricsShowWhatIsHeldAndRefused() {
        ProcessMetrics metrics = new ProcessMetrics();
        new CallerLimiter(CallerLimits.DEFAULT, () -> 0, false, List.of()).register(metrics);

        String text = metrics.scrape();
        assertThat(text, containsString("knapweedmount_callers_held_bytes 0"));
        assertThat(text, containsString("knapweedmount_callers_connections 0"));
        assertThat(text, containsString("knapweedmount_callers_refused_header_too_large_total 0"));
        assertThat(text, containsString("knapweedmount_callers_refused_memory_total 0"));
    }
}
