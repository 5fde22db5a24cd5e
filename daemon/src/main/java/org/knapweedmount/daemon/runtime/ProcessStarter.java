package org.knapweedmount.daemon.runtime;

import org.knapweedmount.daemon.settings.Settings;

/**
 * Starts a process of one role.
 *
 * @param <S> the settings of that role
 */
@FunctionalInterface
public interface ProcessStarter<S extends Settings> {
    /**
     * Starts a process.
     *
     * @param settings its settings
     * @return the process once it serves
     * @throws StartException if it cannot serve
     */
    RunningProcess start(S settings) throws StartException;
}
