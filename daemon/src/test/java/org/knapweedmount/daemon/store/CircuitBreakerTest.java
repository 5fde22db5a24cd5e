package org.knapweedmount.daemon.store;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CircuitBreakerTest {
    private final CircuitBreaker breaker = new CircuitBreaker(2, 100);

    @Test
    void refusesAfterFailuresInARowButLetsProbesThrough() {
        assertThat(breaker.failed(0), is(false));
        assertThat(breaker.admit(0), is(true));
        assertThat(breaker.failed(10), is(true));

        assertThat(breaker.admit(109), is(false));
        assertThat(breaker.admit(110), is(true));
        assertThat(breaker.admit(111), is(false));
        assertThat(breaker.failed(115), is(false));
        assertThat(breaker.admit(209), is(false));
        assertThat(breaker.admit(210), is(true));
    }

    @Test
    void oneSuccessLetsAllThrough() {
        breaker.failed(0);
        breaker.failed(0);

        assertThat(breaker.succeeded(), is(true));
        assertThat(breaker.admit(0), is(true));
        assertThat(breaker.failed(0), is(false));
        assertThat(breaker.succeeded(), is(false));
    }
}
