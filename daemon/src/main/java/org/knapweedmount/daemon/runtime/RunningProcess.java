package org.knapweedmount.daemon.runtime;

/** A process that serves. */
public interface RunningProcess {
    /**
     * Stops as planned: takes no new work, waits for the work in flight up to the time limit in the settings, and closes
     * what is open.
     *
     * <p>Blocks, and is called by a thread of its own. A second call has no effect.
     *
     * @throws InterruptedException if the thread was interrupted while it waited
     */
    void stop() throws InterruptedException;
}
