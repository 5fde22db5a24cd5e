package org.knapweedmount.daemon.agent;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;
import org.knapweedmount.core.agent.EndpointAnnouncement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

class AnnouncementReaderTest {
    private static final String VALID_ANNOUNCEMENT = """
            {"service": "stock-desk", "host": "10.0.0.7", "port": 8080, "slots": 8, "connections": 64,
             "ttlMillis": 3000, "resources": {"milliCores": 16000, "memoryMegabytes": 32000}}
            """;

    @Test
    void announcementIsRead() throws ParseException {
        EndpointAnnouncement expected = new EndpointAnnouncement(
                "desk-1", "stock-desk", "10.0.0.7", 8080, 8, 64, 3000, new Resources(16_000, 32_000, 0));

        assertThat(AnnouncementReader.announcement("desk-1", Buffer.buffer(VALID_ANNOUNCEMENT)), is(expected));
    }

    @Test
    void usageIsRead() throws ParseException {
        Buffer body = Buffer.buffer("{\"kind\": \"lookup\", \"resources\": {\"accelerators\": 1}}");

        UsageReport expected = new UsageReport("desk-1", "lookup", new Resources(0, 0, 1));
        assertThat(AnnouncementReader.usage("desk-1", body), is(expected));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "slots": 8     | "slots": 0           | slots: 0 is not allowed
            "slots": 8,    | ``                   | slots: missing
            "slots": 8     | "slot": 8            | slot: unknown field
            "10.0.0.7"     | "desk.example"       | host: "desk.example" is not allowed; expected an IP address
            "port": 8080   | "port": 65536        | port: 65536 is not allowed
            "stock-desk"   | "stock/desk"         | service: "stock/desk" is not allowed
            "ttlMillis"    | "resources": 1, "ttl | line 2
            """)
    void invalidAnnouncementIsRefused(String valid, String invalid, String message) {
        Buffer body = Buffer.buffer(VALID_ANNOUNCEMENT.replace(valid, invalid));

        ParseException refused =
                assertThrows(ParseException.class, () -> AnnouncementReader.announcement("desk-1", body));

        assertThat(refused.getMessage(), startsWith(message));
    }
}
