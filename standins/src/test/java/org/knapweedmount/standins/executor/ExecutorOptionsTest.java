package org.knapweedmount.standins.executor;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.support.Arguments;
import org.knapweedmount.standins.support.HostPort;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class ExecutorOptionsTest {
    private final ExecutorOptions options = new ExecutorOptions();

    @Test
    void agentsAreAssignedToEndpointsRoundRobin() {
        read("--id", "desk", "--service", "s", "--count", "3", "--agents", "127.0.0.1:1,127.0.0.1:2", "--port", "50");
        List<EndpointSpec> endpoints = options.endpoints();
        assertThat(endpoints.stream().map(EndpointSpec::id).toList(), contains("desk-1", "desk-2", "desk-3"));
        assertThat(endpoints.stream().map(EndpointSpec::port).toList(), contains(50, 51, 52));
        assertThat(endpoints.get(2).agent(), is(new HostPort("127.0.0.1", 1)));
    }

    @Test
    void aWorkerHasResources() {
        read("--id", "w", "--service", "s", "--agent", "127.0.0.1:1", "--resources", "16000,32000,0", "--mode", "hang");
        EndpointSpec endpoint = options.endpoints().get(0);
        assertThat(endpoint.id(), is("w"));
        assertThat(endpoint.announcement().resources(), is(new Resources(16_000, 32_000, 0)));
        assertThat(endpoint.control().mode(), is(FaultMode.HANG));
    }

    @Test
    void rejectsInvalidValues() {
        String[] common = {"--id", "w", "--service", "s", "--agent", "127.0.0.1:1"};
        for (String bad : new String[] {"--mode=off", "--resources=1,2", "--count=0", "--ttl-millis=x"}) {
            String[] args = Arrays.copyOf(common, common.length + 2);
            System.arraycopy(bad.split("=", 2), 0, args, common.length, 2);
            assertThat(
                    bad, new ExecutorOptions().parse("executor", System.out, args), is(Arguments.ParseResult.INVALID));
        }
    }

    @Test
    void rejectsMissingAgents() {
        Arguments.ParseResult result = options.parse("executor", System.out, "--id", "w", "--service", "s");
        assertThat(result, is(Arguments.ParseResult.INVALID));
    }

    private void read(String... args) {
        assertThat(options.parse("executor", System.out, args), is(Arguments.ParseResult.VALID));
    }
}
