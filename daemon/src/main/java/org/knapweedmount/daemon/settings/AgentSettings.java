package org.knapweedmount.daemon.settings;

import java.util.Objects;

import org.knapweedmount.api.Role;
import org.knapweedmount.core.agent.AgentLimits;

/**
 * The settings of an agent.
 *
 * @param process what a process of any role has
 * @param limits what bounds memory and waiting
 */
public record AgentSettings(ProcessSettings process, AgentLimits limits) implements Settings {
    /** Checks that nothing is missing. */
    public AgentSettings {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(limits, "limits");
    }

    @Override
    public Role role() {
        return Role.AGENT;
    }
}
