package org.knapweedmount.daemon.settings;

import java.util.List;
import java.util.Objects;

import org.knapweedmount.api.Role;
import org.knapweedmount.core.agent.AgentLimits;

/**
 * The settings of an agent.
 *
 * @param name the name of the process
 * @param region the region of the data centre
 * @param dataCentre the data centre that the process runs in
 * @param logLevel the least severity of log lines
 * @param http where it listens for the announcements of endpoints
 * @param platform where the platform's services are
 * @param peers link addresses of entries that are used besides those in the table service
 * @param drainMillis how long a planned stop waits for work in flight, in ms
 * @param heartbeatMillis after how long without another message a heartbeat is sent on a link, in ms
 * @param limits what bounds memory and waiting
 */
public record AgentSettings(
        String name,
        String region,
        String dataCentre,
        LogLevel logLevel,
        HttpSettings http,
        HostPort platform,
        List<HostPort> peers,
        int drainMillis,
        int heartbeatMillis,
        AgentLimits limits)
        implements Settings {
    /** Copies the list and checks that nothing is missing. */
    public AgentSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(logLevel, "logLevel");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(limits, "limits");
        peers = List.copyOf(peers);
    }

    @Override
    public Role role() {
        return Role.AGENT;
    }
}
