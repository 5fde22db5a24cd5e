package org.knapweedmount.daemon.http.limits;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ProcessResourcesTest {
    private static final int KERNEL_BYTES_PER_CONNECTION = 48 * 1_024;

    /** The bounds were the same on each VM, and their sum was more than the smallest one has. */
    @Test
    void connectionsAreLimitedByMemory() {
        ProcessResources small = new ProcessResources(290_000_000, 10_000, 151_000_000, 25_000_000);

        int connections = small.connections().maxConnections();
        assertThat(connections, is(1_017));
        long sumBytes = 151_000_000L
                + 25_000_000L
                + ProcessResources.JVM_BYTES
                + (long) connections * KERNEL_BYTES_PER_CONNECTION;
        assertThat(sumBytes, is(lessThanOrEqualTo(290_000_000L)));
    }

    @Test
    void connectionsAreLimitedByDescriptors() {
        ProcessResources few = new ProcessResources(600_000_000, 1_000, 151_000_000, 25_000_000);

        assertThat(few.connections(), is(new ConnectionBounds(388, 339)));
    }

    /** Resources that are not stated were not to change the defaults. */
    @Test
    void defaultsApplyWhereResourcesAreAmpleOrUnknown() {
        ProcessResources unknown = new ProcessResources(Long.MAX_VALUE, Integer.MAX_VALUE, 160_000_000, 25_000_000);

        assertThat(unknown.connections(), is(ConnectionBounds.DEFAULT));
        assertThat(unknown.memory(), is(MemoryBounds.DEFAULT));
    }
}
