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
 * Reads the settings file of a process: JSON with comments.
 *
 * <p>A key that is not known, missing, given twice or of no use to the role is refused like a bad value, so that no
 * mistake in a settings file goes unnoticed.
 */
public final class SettingsReader {
    private static final IntRange DRAIN_MILLIS = new IntRange(0, 600_000);
    private static final IntRange HEARTBEAT_MILLIS = new IntRange(10, 60_000);
    private static final IntRange BODY_BYTES = new IntRange(0, 64 * 1024 * 1024);
    private static final IntRange CONNECTIONS = new IntRange(1, 1_000_000);
    private static final int DEFAULT_DRAIN_MILLIS = 30_000;
    private static final int DEFAULT_HEARTBEAT_MILLIS = 300;
    private static final int DEFAULT_BODY_BYTES = 1024 * 1024;
    private static final int DEFAULT_CONNECTIONS = 1_000;
    private static final Pattern WILDCARD = Pattern.compile("0\\.0\\.0\\.0|[0:]+");
    private static final String NAME = "1 to 64 letters, digits and hyphens";
    private static final String IP_NUMBER = "an IP number";
    private static final String OWN_IP_NUMBER = "an IP number that other processes connect to";
    private static final String ADDRESS = "an address such as \"127.0.0.1:7101\"";

    private final Path file;
    private final SettingsSection root;

    private SettingsReader(Path file, SettingsSection root) {
        this.file = file;
        this.root = root;
    }

    /**
     * Reads and checks a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or does not hold settings that are allowed; the message has the
     *     file, the line, the key and what is allowed
     */
    public static Settings read(Path file) throws SettingsException {
        SettingsSection root = new SettingsSection(file, "", SettingsParser.parse(file));
        return new SettingsReader(file, root).settings();
    }

    private Settings settings() throws SettingsException {
        Role role = root.text("role", "\"entry\" or \"agent\"", SettingsReader::role);
        Settings settings = role == Role.ENTRY ? entry() : agent();
        root.refuseUnknownKeys();
        return settings;
    }

    private static Optional<Role> role(String text) {
        return Arrays.stream(Role.values())
                .filter(role -> role.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst();
    }

    private EntrySettings entry() throws SettingsException {
        root.refuse("agent", "allowed for the role \"agent\" only");
        return new EntrySettings(
                process(),
                links(root.section("links")),
                operators(root.section("operators")),
                LimitsReader.entry(root.optionalSection("entry")));
    }

    private AgentSettings agent() throws SettingsException {
        for (String key : List.of("links", "operators", "entry")) {
            root.refuse(key, "allowed for the role \"entry\" only");
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
        return root.text(key, NAME, text -> Optional.of(text).filter(Incarnation::isName));
    }

    private String region() throws SettingsException {
        return root.optionalText("region", NAME, text -> Optional.of(text).filter(Incarnation::isName))
                .orElse(PeerAddress.DEFAULT_REGION);
    }

    private LogLevel logLevel() throws SettingsException {
        return root.optionalText("logLevel", "one of " + LogLevel.allowed(), LogLevel::of)
                .orElse(LogLevel.INFO);
    }

    private static LinkSettings links(SettingsSection section) throws SettingsException {
        String host = section.text("host", OWN_IP_NUMBER, SettingsReader::ownIpNumber);
        int port = section.integer("port", IntRange.LISTEN_PORT);
        Optional<Integer> advertisedPort = section.optionalInteger("advertisedPort", IntRange.PORT);
        section.refuseUnknownKeys();
        return new LinkSettings(host, port, advertisedPort.map(OptionalInt::of).orElseGet(OptionalInt::empty));
    }

    private static HttpSettings http(SettingsSection section) throws SettingsException {
        int maxConnections = section.integer("maxConnections", CONNECTIONS, DEFAULT_CONNECTIONS);
        HttpSettings http = new HttpSettings(
                ipNumber(section),
                section.integer("port", IntRange.LISTEN_PORT),
                section.integer("maxBodyBytes", BODY_BYTES, DEFAULT_BODY_BYTES),
                maxConnections,
                section.integer("maxConnectionsPerCaller", CONNECTIONS, maxConnections));
        section.refuseUnknownKeys();
        return http;
    }

    private OperatorSettings operators(SettingsSection section) throws SettingsException {
        OperatorSettings operators = new OperatorSettings(
                ipNumber(section),
                section.integer("port", IntRange.LISTEN_PORT),
                section.text("tokenFile", "the path of a file", this::path));
        section.refuseUnknownKeys();
        return operators;
    }

    private static HostPort platform(SettingsSection section) throws SettingsException {
        HostPort platform = new HostPort(ipNumber(section), section.integer("port", IntRange.PORT));
        section.refuseUnknownKeys();
        return platform;
    }

    private List<HostPort> peers() throws SettingsException {
        return root.texts("peers", ADDRESS, HostPort::parse);
    }

    private static String ipNumber(SettingsSection section) throws SettingsException {
        return section.text("host", IP_NUMBER, text -> Optional.of(text).filter(HostPort::isIpAddress));
    }

    private static Optional<String> ownIpNumber(String text) {
        return Optional.of(text)
                .filter(HostPort::isIpAddress)
                .filter(host -> !WILDCARD.matcher(host).matches());
    }

    private Optional<Path> path(String text) {
        if (text.isEmpty() || text.indexOf('\0') >= 0) {
            return Optional.empty();
        }
        return Optional.of(file.toAbsolutePath().resolveSibling(text));
    }
}
