package org.knapweedmount.daemon.store;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CircuitBreakerTest {
    private final CircuitBreaker breaker = new CircuitBreaker(2, 100);

    @Test
    void failsFastAfterConsecutiveFailuresExceptForProbes() {
        assertThat(breaker.recordFailure(0), is(false));
        assertThat(breaker.allowRequest(0), is(true));
        assertThat(breaker.recordFailure(10), is(true));

        assertThat(breaker.allowRequest(109), is(false));
        assertThat(breaker.allowRequest(110), is(true));
        assertThat(breaker.allowRequest(111), is(false));
        assertThat(breaker.recordFailure(115), is(false));
        assertThat(breaker.allowRequest(209), is(false));
        assertThat(breaker.allowRequest(210), is(true));
    }

    @Test
    void successClosesTheBreaker() {
        breaker.recordFailure(0);
        breaker.recordFailure(0);

        assertThat(breaker.recordSuccess(), is(true));
        assertThat(breaker.allowRequest(0), is(true));
        assertThat(breaker.recordFailure(0), is(false));
        assertThat(breaker.recordSuccess(), is(false));
    }
}
