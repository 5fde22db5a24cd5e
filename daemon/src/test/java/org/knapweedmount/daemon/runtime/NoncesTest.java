package org.knapweedmount.daemon.runtime;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class NoncesTest {
    @Test
    void numbersDiffer() {
        Set<Long> drawn = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            drawn.add(Nonces.next());
        }

        assertThat(drawn.size(), is(100));
    }
}
