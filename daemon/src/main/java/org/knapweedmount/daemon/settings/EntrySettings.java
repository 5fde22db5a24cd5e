package org.knapweedmount.daemon.settings;

import java.util.List;
import java.util.Objects;

import org.knapweedmount.api.Role;
import org.knapweedmount.core.entry.EntryLimits;

/**
 * The settings of an entry.
 *
 * @param name the name of the process
 * @param region the region of the data centre
 * @param dataCentre the data centre that the process runs in
 * @param logLevel the least severity of log lines
 * @param links where it listens for links
 * @param http where it listens for callers
 * @param operators where it listens for operators
 * @param platform where the platform's services are
 * @param peers link addresses of entries that are used besides those in the table service
 * @param drainMillis how long a planned stop waits for work in flight, in ms
 * @param heartbeatMillis after how long without another message a heartbeat is sent on a link, in ms
 * @param limits what bounds memory and waiting
 */
public record EntrySettings(
        String name,
        String region,
        String dataCentre,
        LogLevel logLevel,
        LinkSettings links,
        HttpSettings http,
        OperatorSettings operators,
        HostPort platform,
        List<HostPort> peers,
        int drainMillis,
        int heartbeatMillis,
        EntryLimits limits)
        implements Settings {
    /** Copies the list and checks that nothing is missing. */
    public EntrySettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(logLevel, "logLevel");
        Objects.requireNonNull(links, "links");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(limits, "limits");
        peers = List.copyOf(peers);
    }

    @Override
    public Role role() {
        return Role.ENTRY;
    }
}
