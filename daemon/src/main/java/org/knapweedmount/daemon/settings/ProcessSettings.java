package org.knapweedmount.daemon.settings;

import java.util.List;
import java.util.Objects;

/**
 * The settings common to all roles.
 *
 * @param name the name of the process, which is kept across restarts; 1 to 64 letters, digits and hyphens
 * @param region the region of the data centre
 * @param dataCentre the data centre that the process runs in
 * @param logLevel the minimum severity of log lines
 * @param http the HTTP server: for callers at an entry, for the announcements of endpoints at an agent
 * @param platform the address of the platform services
 * @param peers link addresses of entries, in addition to those in the table service
 * @param drainMillis the time limit for work in flight during a planned stop, in ms
 * @param heartbeatMillis the time without another message after which a heartbeat is sent on a link, in ms
 */
public record ProcessSettings(
        String name,
        String region,
        String dataCentre,
        LogLevel logLevel,
        HttpSettings http,
        HostPort platform,
        List<HostPort> peers,
        int drainMillis,
        int heartbeatMillis) {
    /** Copies the list and checks that no component is null. */
    public ProcessSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(logLevel, "logLevel");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(platform, "platform");
        peers = List.copyOf(peers);
    }
}
