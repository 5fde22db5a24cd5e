package org.knapweedmount.daemon.link;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class BackoffTest {
    private final Backoff backoff = new Backoff(new Random(3));

    @Test
    void pausesDoubleUpToTheLimitAndAreShortenedByLessThanHalf() {
        long fullMillis = Backoff.MIN_MILLIS;
        for (int i = 0; i < 20; i++) {
            assertThat(backoff.nextPauseMillis(), allOf(greaterThan(fullMillis / 2), lessThanOrEqualTo(fullMillis)));
            fullMillis = Math.min(Backoff.MAX_MILLIS, 2 * fullMillis);
        }
    }

    @Test
    void pauseIsShortAfterAResetAndLongIfRequested() {
        backoff.useLongPause();
        assertThat(backoff.nextPauseMillis(), greaterThan(Backoff.MAX_MILLIS / 2));
        backoff.reset();
        assertThat(backoff.nextPauseMillis(), lessThanOrEqualTo(Backoff.MIN_MILLIS));
    }
}
