package org.knapweedmount.daemon.settings;

import java.util.List;
import java.util.Objects;

/**
 * The settings that a process of any role has.
 *
 * @param name the name of the process, which stays the same when it is restarted; 1 to 64 letters, digits and hyphens
 * @param region the region of the data centre
 * @param dataCentre the data centre that the process runs in
 * @param logLevel the least severity of log lines
 * @param http where it listens for HTTP requests: an entry for callers, an agent for the announcements of endpoints
 * @param platform where the platform's services are
 * @param peers link addresses of entries that are used besides those in the table service
 * @param drainMillis how long a planned stop waits for work in flight, in ms
 * @param heartbeatMillis after how long without another message a heartbeat is sent on a link, in ms
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
    /** Copies the list and checks that nothing is missing. */
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
