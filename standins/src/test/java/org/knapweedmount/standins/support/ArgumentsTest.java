package org.knapweedmount.standins.support;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class ArgumentsTest {
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private final Options options = new Options();

    private static final class Options extends Arguments {
        @Parameter(names = "--agents", converter = HostPort.Converter.class, description = "Agents")
        private List<HostPort> agents = new ArrayList<>();
    }

    @Test
    void readsAListOfAddresses() {
        assertThat(read("--agents", "127.0.0.1:1,127.0.0.2:65535"), is(Arguments.ParseResult.VALID));
        assertThat(options.agents, is(List.of(new HostPort("127.0.0.1", 1), new HostPort("127.0.0.2", 65535))));
    }

    @Test
    void rejectsInvalidAddressesAndOptions() {
        assertThat(read("--agents", "127.0.0.1"), is(Arguments.ParseResult.INVALID));
        assertThat(read("--agents", "127.0.0.1:x"), is(Arguments.ParseResult.INVALID));
        assertThat(read("--agents", "127.0.0.1:65536"), is(Arguments.ParseResult.INVALID));
        assertThat(read("--agent", "127.0.0.1:1"), is(Arguments.ParseResult.INVALID));
        assertThat(printed.toString(StandardCharsets.UTF_8), containsString("65536"));
    }

    @Test
    void printsTheOptionsOnRequest() {
        assertThat(read("--help"), is(Arguments.ParseResult.HELP_PRINTED));
        assertThat(printed.toString(StandardCharsets.UTF_8), containsString("--agents"));
    }

    private Arguments.ParseResult read(String... args) {
        return options.parse("test", new PrintStream(printed, true, StandardCharsets.UTF_8), args);
    }
}
