package org.knapweedmount.daemon.settings;

import java.util.List;

import org.knapweedmount.api.Role;

/**
 * The settings of a process, read from its settings file.
 *
 * <p>The settings do not change while the process runs; configuration that changes at run time is distributed by change
 * tickets.
 */
public sealed interface Settings permits EntrySettings, AgentSettings {
    /**
     * Returns the role of the process.
     *
     * @return the role
     */
    Role role();

    /**
     * Returns the settings common to all roles.
     *
     * @return the common settings
     */
    ProcessSettings process();

    /**
     * Returns the name of the process, which is kept across restarts.
     *
     * @return 1 to 64 letters, digits and hyphens
     */
    default String name() {
        return process().name();
    }

    /**
     * Returns the region of the data centre.
     *
     * @return the name of the region
     */
    default String region() {
        return process().region();
    }

    /**
     * Returns the data centre that the process runs in.
     *
     * @return the name of the data centre
     */
    default String dataCentre() {
        return process().dataCentre();
    }

    /**
     * Returns the minimum severity of log lines.
     *
     * @return the level
     */
    default LogLevel logLevel() {
        return process().logLevel();
    }

    /**
     * Returns the settings of the HTTP server.
     *
     * @return the HTTP settings
     */
    default HttpSettings http() {
        return process().http();
    }

    /**
     * Returns the address of the platform services.
     *
     * @return the address
     */
    default HostPort platform() {
        return process().platform();
    }

    /**
     * Returns the link addresses of entries, in addition to those in the table service.
     *
     * @return the addresses, empty if there are none
     */
    default List<HostPort> peers() {
        return process().peers();
    }

    /**
     * Returns the time limit for work in flight during a planned stop.
     *
     * @return the time limit, in ms
     */
    default int drainMillis() {
        return process().drainMillis();
    }

    /**
     * Returns the time without another message after which a heartbeat is sent on a link.
     *
     * @return the interval, in ms
     */
    default int heartbeatMillis() {
        return process().heartbeatMillis();
    }
}
