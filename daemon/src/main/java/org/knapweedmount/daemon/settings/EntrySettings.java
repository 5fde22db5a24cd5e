package org.knapweedmount.daemon.settings;

import java.util.Objects;

import org.knapweedmount.api.Role;
import org.knapweedmount.core.entry.EntryLimits;

/**
 * The settings of an entry.
 *
 * @param process what a process of any role has
 * @param links where it listens for links
 * @param operators where it listens for operators
 * @param limits what bounds memory and waiting
 */
public record EntrySettings(ProcessSettings process, LinkSettings links, OperatorSettings operators, EntryLimits limits)
        implements Settings {
    /** Checks that nothing is missing. */
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
