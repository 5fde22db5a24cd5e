package org.knapweedmount.daemon.settings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;

/**
 * Reads the settings file of a process, which is JSON with comments.
 *
 * <p>A key that is unknown, missing, duplicate or not used by the role is an error like an invalid value, so that
 * mistakes in a settings file do not go unnoticed.
 */
public final class SettingsReader {
    private static final IntRange DRAIN_MILLIS = new IntRange(0, 600_000);
    private static final IntRange HEARTBEAT_MILLIS = new IntRange(10, 60_000);
    private static final IntRange MAX_BODY_BYTES = new IntRange(0, 64 * 1024 * 1024);
    private static final IntRange MAX_CONNECTIONS = new IntRange(1, 1_000_000);
    private static final int DEFAULT_DRAIN_MILLIS = 30_000;
    private static final int DEFAULT_HEARTBEAT_MILLIS = 300;
    private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
    private static final int DEFAULT_MAX_CONNECTIONS = 1_000;
    private static final Pattern WILDCARD_ADDRESS = Pattern.compile("0\\.0\\.0\\.0|[0:]+");
    private static final String NAME_FORMAT = "1 to 64 letters, digits and hyphens";
    private static final String IP_ADDRESS = "an IP address";
    private static final String CONNECTABLE_IP_ADDRESS = "an IP address that other processes can connect to";
    private static final String ADDRESS = "an address such as \"127.0.0.1:7101\"";

    private final Path file;
    private final SettingsSection root;

    private SettingsReader(Path file, SettingsSection root) {
        this.file = file;
        this.root = root;
    }

    /**
     * Reads and validates a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or is invalid; the message names the file, the line, the key
     *     and the allowed values
     */
    public static Settings read(Path file) throws SettingsException {
        SettingsSection root = new SettingsSection(file, "", SettingsParser.parse(file));
        return new SettingsReader(file, root).settings();
    }

    private Settings settings() throws SettingsException {
        Role role = root.text("role", "\"entry\" or \"agent\"", SettingsReader::parseRole);
        Settings settings = role == Role.ENTRY ? entry() : agent();
        root.rejectUnknownKeys();
        return settings;
    }

    private static Optional<Role> parseRole(String text) {
        return Arrays.stream(Role.values())
                .filter(role -> role.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst();
    }

    private EntrySettings entry() throws SettingsException {
        root.rejectKey("agent", "only allowed for the role \"agent\"");
        return new EntrySettings(
                process(),
                links(root.section("links")),
                operators(root.section("operators")),
                LimitsReader.entry(root.optionalSection("entry")));
    }

    private AgentSettings agent() throws SettingsException {
        for (String key : List.of("links", "operators", "entry")) {
            root.rejectKey(key, "only allowed for the role \"entry\"");
        }
        return new AgentSettings(process(), LimitsReader.agent(root.optionalSection("agent")));
    }

    private ProcessSettings process() throws SettingsException {
        return new ProcessSettings(
                name("name"),
                region(),
                name("dataCentre"),
                logLevel(),
                http(root.section("http")),
                platform(root.section("platform")),
                peers(),
                root.integer("drainMillis", DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS),
                root.integer("heartbeatMillis", HEARTBEAT_MILLIS, DEFAULT_HEARTBEAT_MILLIS));
    }

    private String name(String key) throws SettingsException {
        return root.text(key, NAME_FORMAT, text -> Optional.of(text).filter(Incarnation::isName));
    }

    private String region() throws SettingsException {
        return root.optionalText(
                        "region", NAME_FORMAT, text -> Optional.of(text).filter(Incarnation::isName))
                .orElse(PeerAddress.DEFAULT_REGION);
    }

    private LogLevel logLevel() throws SettingsException {
        return root.optionalText("logLevel", "one of " + LogLevel.allowed(), LogLevel::of)
                .orElse(LogLevel.INFO);
    }

    private static LinkSettings links(SettingsSection section) throws SettingsException {
        String host = section.text("host", CONNECTABLE_IP_ADDRESS, SettingsReader::connectableIpAddress);
        int port = section.integer("port", IntRange.LISTEN_PORT);
        Optional<Integer> advertisedPort = section.optionalInteger("advertisedPort", IntRange.PORT);
        section.rejectUnknownKeys();
        return new LinkSettings(host, port, advertisedPort.map(OptionalInt::of).orElseGet(OptionalInt::empty));
    }

    private static HttpSettings http(SettingsSection section) throws SettingsException {
        int maxConnections = section.integer("maxConnections", MAX_CONNECTIONS, DEFAULT_MAX_CONNECTIONS);
        HttpSettings http = new HttpSettings(
                ipAddress(section),
                section.integer("port", IntRange.LISTEN_PORT),
                section.integer("maxBodyBytes", MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES),
                maxConnections,
                section.integer("maxConnectionsPerCaller", MAX_CONNECTIONS, maxConnections));
        section.rejectUnknownKeys();
        return http;
    }

    private OperatorSettings operators(SettingsSection section) throws SettingsException {
        OperatorSettings operators = new OperatorSettings(
                ipAddress(section),
                section.integer("port", IntRange.LISTEN_PORT),
                section.text("tokenFile", "the path of a file", this::resolvePath));
        section.rejectUnknownKeys();
        return operators;
    }

    private static HostPort platform(SettingsSection section) throws SettingsException {
        HostPort platform = new HostPort(ipAddress(section), section.integer("port", IntRange.PORT));
        section.rejectUnknownKeys();
        return platform;
    }

    private List<HostPort> peers() throws SettingsException {
        return root.texts("peers", ADDRESS, HostPort::parse);
    }

    private static String ipAddress(SettingsSection section) throws SettingsException {
        return section.text("host", IP_ADDRESS, text -> Optional.of(text).filter(HostPort::isIpAddress));
    }

    private static Optional<String> connectableIpAddress(String text) {
        return Optional.of(text)
                .filter(HostPort::isIpAddress)
                .filter(host -> !WILDCARD_ADDRESS.matcher(host).matches());
    }

    private Optional<Path> resolvePath(String text) {
        if (text.isEmpty() || text.indexOf('\0') >= 0) {
            return Optional.empty();
        }
        return Optional.of(file.toAbsolutePath().resolveSibling(text));
    }
}
