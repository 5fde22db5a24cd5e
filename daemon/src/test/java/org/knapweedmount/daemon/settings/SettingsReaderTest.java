package org.knapweedmount.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.core.agent.AgentLimits;
import org.knapweedmount.core.entry.EntryLimits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SettingsReaderTest {
    private static final String ENTRY = """
            { // an entry
              "role": "entry", "name": "entry-1",
              "region": "brittany", "dataCentre": "rennes",
              "logLevel": "warn",
              "links": {"host": "127.0.0.1", "port": 0, "advertisedPort": 7201},
              "http": {"host": "0.0.0.0", "port": 8101, "maxBodyBytes": 1000, "maxConnections": 7},
              "operators": {"host": "::1", "port": 9101, "tokenFile": "operators.token"},
              "platform": {"host": "127.0.0.1", "port": 7000},
              /* besides the table rows */
              "peers": ["127.0.0.1:7101", "[::1]:7102"],
              "drainMillis": 5,
              "heartbeatMillis": 20,
              "entry": {"maxQueuedTasks": 9, "retryShare": 0}
            }
            """;
    private static final String AGENT = """
            {"role": "agent", "name": "agent-1", "dataCentre": "rennes",
             "http": {"host": "127.0.0.1", "port": 8201},
             "platform": {"host": "127.0.0.1", "port": 7000}}
            """;

    @TempDir
    private Path directory;

    @Test
    void entryWithAllKeys() throws Exception {
        EntryLimits limits = new EntryLimits(9, 64_000_000, 1_000, 50_000, 64_000_000, 1_500, 5_000, 3_000, 0);
        ProcessSettings process = new ProcessSettings(
                "entry-1",
                "brittany",
                "rennes",
                LogLevel.WARN,
                new HttpSettings("0.0.0.0", 8101, 1000, 7),
                new HostPort("127.0.0.1", 7000),
                List.of(new HostPort("127.0.0.1", 7101), new HostPort("::1", 7102)),
                5,
                20);
        Settings expected = new EntrySettings(
                process,
                new LinkSettings("127.0.0.1", 0, OptionalInt.of(7201)),
                new OperatorSettings("::1", 9101, directory.resolve("operators.token")),
                limits);

        assertThat(SettingsReader.read(file(ENTRY)), is(expected));
    }

    @Test
    void oneCallerMayUseAllConnectionsUnlessALimitIsGiven() throws Exception {
        String limited =
                ENTRY.replace("\"maxConnections\": 7", "\"maxConnections\": 7, \"maxConnectionsPerCaller\": 3");

        assertThat(SettingsReader.read(file(ENTRY)).http().maxConnectionsPerCaller(), is(7));
        assertThat(SettingsReader.read(file(limited)).http().maxConnectionsPerCaller(), is(3));
    }

    @Test
    void agentWithDefaults() throws Exception {
        ProcessSettings process = new ProcessSettings(
                "agent-1",
                PeerAddress.DEFAULT_REGION,
                "rennes",
                LogLevel.INFO,
                new HttpSettings("127.0.0.1", 8201, 1_048_576, 1_000),
                new HostPort("127.0.0.1", 7000),
                List.of(),
                30_000,
                300);
        Settings expected = new AgentSettings(process, AgentLimits.DEFAULT);

        assertThat(SettingsReader.read(file(AGENT)), is(expected));
    }

    @ParameterizedTest(name = "{0} -> {1}: {2}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "name": "entry-1"       | "name": "entry 1"     | 2: name: "entry 1" is not allowed; expected 1 to 64
            "name": "entry-1",      | ``                    | 1: name: missing; expected 1 to 64 letters
            "region": "brittany"    | "region": "a b"       | 3: region: "a b" is not allowed; expected 1 to 64
            "warn"                  | "loud"                | 4: logLevel: "loud" is not allowed; expected one of trace
            "warn"                  | 3                     | 4: logLevel: 3 is not allowed; expected one of trace
            "port": 8101            | "port": 65536         | 6: http.port: 65536 is not allowed; expected a whole number
            "port": 8101            | "port": 8101.0        | 6: http.port: 8101.0 is not allowed; expected a whole number
            "port": 8101            | "port": 99999999999999999999 | 6: http.port: 99999999999999999999 is not allowed
            "port": 8101            | "port": "8101"        | 6: http.port: "8101" is not allowed; expected a whole number
            "port": 7000            | "port": 0             | 8: platform.port: 0 is not allowed; expected a whole number
            "host": "::1"           | "host": "localhost"   | 7: operators.host: "localhost" is not allowed; expected an IP
            "host": "127.0.0.1", "port": 0 | "host": "0.0.0.0", "port": 0 | 5: links.host: "0.0.0.0" is not allowed
            "operators.token"       | null                  | 7: operators.tokenFile: null is not allowed; expected the path
            ["127.0.0.1:7101",      | ["127.0.0.1:0",       | 10: peers: "127.0.0.1:0" is not allowed; expected an address
            ["127.0.0.1:7101", "[::1]:7102"] | "127.0.0.1:1" | 10: peers: "127.0.0.1:1" is not allowed; expected a list
            "drainMillis": 5        | "drainMillis": -1     | 11: drainMillis: -1 is not allowed; expected a whole number
            "drainMillis": 5        | "drainMilis": 5       | 11: drainMilis: unknown key; allowed keys are [agent, dataCentre,
            "drainMillis": 5        | "name": "entry-2"     | 11: name: duplicate key
            "heartbeatMillis": 20,  | "agent": {},          | 12: agent: only allowed for the role "agent"
            "retryShare": 0         | "retryShare": 1.01    | 13: entry.retryShare: 1.01 is not allowed; expected a number
            "retryShare": 0         | "retries": 0          | 13: entry.retries: unknown key; allowed keys are [linkTimeout
            "entry": {"max          | "entry": 5, "x": {"m  | 13: entry: 5 is not allowed; expected an object
            "role": "entry"         | "role": "agent"       | 5: links: only allowed for the role "entry"
            "role": "entry"         | "role": "broker"      | 2: role: "broker" is not allowed; expected "entry" or
            "drainMillis": 5,       | "drainMillis": 5      | 12: invalid JSON: Unexpected character
            """)
    void invalidValueIsRejectedWithLineKeyAndAllowedValues(String validText, String invalidText, String message)
            throws Exception {
        Path file = file(ENTRY.replace(validText, invalidText));

        SettingsException exception = assertThrows(SettingsException.class, () -> SettingsReader.read(file));

        assertThat(exception.getMessage(), startsWith(file + ":" + message));
    }

    @ParameterizedTest(name = "{0} -> {1}")
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            []                      | 1: expected one JSON object
            ``                      | 1: expected one JSON object
            {} {}                   | 1: unexpected content after the JSON object
            {"role": "agent"        | 1: invalid JSON: Unexpected end-of-input
            """)
    void textThatIsNoObjectIsRejected(String text, String message) throws Exception {
        Path file = file(text);

        SettingsException exception = assertThrows(SettingsException.class, () -> SettingsReader.read(file));

        assertThat(exception.getMessage(), startsWith(file + ":" + message));
    }

    @Test
    void missingFileIsRejected() {
        Path file = directory.resolve("missing.json");

        SettingsException exception = assertThrows(SettingsException.class, () -> SettingsReader.read(file));

        assertThat(exception.getMessage(), startsWith(file + ": cannot read the settings file"));
    }

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("settings.json"), text);
    }
}
