package org.knapweedmount.daemon.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a TCP port to connect to.
 *
 * <p>The text form is {@code 127.0.0.1:7101} or {@code [::1]:7101}. Host names such as {@code localhost:7101} are not
 * accepted, so that a process never waits for a name service.
 *
 * @param host an IPv4 or IPv6 address
 * @param port a TCP port from 1 to 65535
 */
public record HostPort(String host, int port) {
    static final int MAX_PORT = 65_535;
    private static final Pattern TEXT =
            Pattern.compile("(?:\\[([0-9a-fA-F.]*:[0-9a-fA-F:.]*)]|([0-9.]+)):([0-9]{1,5})");
    private static final String BYTE = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IPV4 = Pattern.compile(BYTE + "(?:\\." + BYTE + "){3}");

    /** A text in brackets that matches this pattern is parsed as an address and never looked up as a name. */
    private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-fA-F.]*:[0-9a-fA-F:.]*");

    private static final int BRACKETED_HOST = 1;
    private static final int PLAIN_HOST = 2;
    private static final int PORT = 3;

    /** Checks that the host is not null. */
    public HostPort {
        Objects.requireNonNull(host, "host");
    }

    /**
     * Parses the text form.
     *
     * @param text for instance {@code 127.0.0.1:7101}
     * @return the address, empty if the text is not valid
     */
    public static Optional<HostPort> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        boolean bracketed = matcher.group(BRACKETED_HOST) != null;
        String host = bracketed ? matcher.group(BRACKETED_HOST) : matcher.group(PLAIN_HOST);
        int port = Integer.parseInt(matcher.group(PORT));
        if (!isIpAddress(host) || port < 1 || port > MAX_PORT) {
            return Optional.empty();
        }
        return Optional.of(new HostPort(host, port));
    }

    /**
     * Returns whether a text is an IP address.
     *
     * @param text the text to check
     * @return true if the text is an IPv4 or IPv6 address in the usual notation
     */
    public static boolean isIpAddress(String text) {
        return IPV4.matcher(text).matches() || isIpv6Address(text);
    }

    private static boolean isIpv6Address(String text) {
        if (!IPV6_CHARACTERS.matcher(text).matches()) {
            return false;
        }
        try {
            return InetAddress.getAllByName("[" + text + "]").length > 0;
        } catch (UnknownHostException e) {
            return false;
        }
    }

    @Override
    public String toString() {
        return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
    }
}
