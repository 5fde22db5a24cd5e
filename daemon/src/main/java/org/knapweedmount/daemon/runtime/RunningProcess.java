package org.knapweedmount.daemon.runtime;

/** A started process. */
public interface RunningProcess {
    /**
     * Stops the process gracefully: refuses new work, waits for the work in flight up to the time limit in the
     * settings, and closes all ports, links and threads.
     *
     * <p>Blocks until the process has stopped, and is called on a separate thread. A second call has no effect.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void stop() throws InterruptedException;
}
