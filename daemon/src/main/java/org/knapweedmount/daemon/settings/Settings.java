package org.knapweedmount.daemon.settings;

import java.util.List;

import org.knapweedmount.api.Role;

/**
 * What a process learns from its settings file, whatever its role.
 *
 * <p>The settings hold for the life of the process; what changes while it runs comes by change tickets.
 */
public sealed interface Settings permits EntrySettings, AgentSettings {
    /**
     * Returns what the process does.
     *
     * @return the role
     */
    Role role();

    /**
     * Returns the settings that a process of any role has.
     *
     * @return the common settings
     */
    ProcessSettings process();

    /**
     * Returns the name of the process, which stays the same when it is restarted.
     *
     * @return 1 to 64 letters, digits and hyphens
     */
    default String name() {
        return process().name();
    }

    /**
     * Returns the region of the data centre.
     *
     * @return the region's name
     */
    default String region() {
        return process().region();
    }

    /**
     * Returns the data centre that the process runs in.
     *
     * @return the data centre's name
     */
    default String dataCentre() {
        return process().dataCentre();
    }

    /**
     * Returns the least severity of log lines.
     *
     * @return the level
     */
    default LogLevel logLevel() {
        return process().logLevel();
    }

    /**
     * Returns where the process listens for HTTP requests.
     *
     * @return the settings of the HTTP server
     */
    default HttpSettings http() {
        return process().http();
    }

    /**
     * Returns where the platform's services are.
     *
     * @return the address
     */
    default HostPort platform() {
        return process().platform();
    }

    /**
     * Returns link addresses of entries that are used besides those in the table service.
     *
     * @return the addresses, empty if there are none
     */
    default List<HostPort> peers() {
        return process().peers();
    }

    /**
     * Returns how long a planned stop waits for work in flight.
     *
     * @return the time limit, in ms
     */
    default int drainMillis() {
        return process().drainMillis();
    }

    /**
     * Returns after how long without another message a heartbeat is sent on a link.
     *
     * @return the interval, in ms
     */
    default int heartbeatMillis() {
        return process().heartbeatMillis();
    }
}
