package org.knapweedmount.daemon.settings;

import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class HostPortTest {
    @ParameterizedTest
    @CsvSource({"127.0.0.1:7101, 127.0.0.1, 7101", "[::1]:1, ::1, 1", "[fe80::1:2]:65535, fe80::1:2, 65535"})
    void addressIsReadAndWrittenBack(String text, String host, int port) {
        assertThat(HostPort.parse(text), is(Optional.of(new HostPort(host, port))));
        assertThat(new HostPort(host, port).toString(), is(text));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "127.0.0.1",
                "localhost:1",
                "1.2.3:1",
                "1.2.3.256:1",
                "1.2.3.04:1",
                "1.2.3.4:0",
                "1.2.3.4:65536",
                "::1:1",
                "[::1]",
                "[1.2.3.4]:1",
                "[1::2::3]:1",
                "[::g]:1"
            })
    void invalidAddressIsRejected(String text) {
        assertThat(HostPort.parse(text), is(Optional.empty()));
    }
}
