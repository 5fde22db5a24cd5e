package org.knapweedmount.daemon.settings;

import java.util.Objects;

import org.knapweedmount.api.Role;
import org.knapweedmount.core.agent.AgentLimits;

/**
 * The settings of an agent.
 *
 * @param process the settings common to all roles
 * @param limits the limits of memory and waiting times
 */
public record AgentSettings(ProcessSettings process, AgentLimits limits) implements Settings {
    /** Checks that no component is null. */
    public AgentSettings {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(limits, "limits");
    }

    @Override
    public Role role() {
        return Role.AGENT;
    }
}
