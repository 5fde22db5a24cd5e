package org.knapweedmount.daemon.settings;

import java.util.Objects;

import org.knapweedmount.api.Role;
import org.knapweedmount.core.entry.EntryLimits;

/**
 * The settings of an entry.
 *
 * @param process the settings common to all roles
 * @param links where the entry listens for links
 * @param operators where the entry listens for requests of operators
 * @param limits the limits of memory and waiting times
 */
public record EntrySettings(ProcessSettings process, LinkSettings links, OperatorSettings operators, EntryLimits limits)
        implements Settings {
    /** Checks that no component is null. */
    public EntrySettings {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(links, "links");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(limits, "limits");
    }

    @Override
    public Role role() {
        return Role.ENTRY;
    }
}
