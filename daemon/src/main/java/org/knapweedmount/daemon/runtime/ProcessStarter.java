package org.knapweedmount.daemon.runtime;

import org.knapweedmount.daemon.settings.Settings;

/**
 * Starts a process of one role.
 *
 * @param <S> the type of the settings of that role
 */
@FunctionalInterface
public interface ProcessStarter<S extends Settings> {
    /**
     * Starts a process.
     *
     * @param settings the settings of the process
     * @return the process, ready to serve
     * @throws StartException if the process cannot be started
     */
    RunningProcess start(S settings) throws StartException;
}
