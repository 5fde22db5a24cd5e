package org.knapweedmount.daemon.http.limits;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ReadSharesTest {
    private static int readBytes(int receivingConnections) {
        return new ReadShares(() -> receivingConnections).readBytes();
    }

    /** The bytes that were read in a turn grew with the number of connections, and so did the wait of the others. */
    @Test
    void readsAreSmallerTheMoreConnectionsReceiveARequest() {
        assertThat(readBytes(0), is(8_192));
        assertThat(readBytes(32), is(8_192));
        assertThat(readBytes(128), is(2_048));
        assertThat(readBytes(1_600), is(512));
    }
}
