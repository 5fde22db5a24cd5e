package org.knapweedmount.daemon.http;

/** Health, readiness and metrics of the process. Thread-safe. */
public interface ProcessHealth {
    /**
     * Returns the reason why the process does not accept requests.
     *
     * @return the reason, empty if the process is ready
     */
    String notReadyReason();

    /**
     * Returns whether the process is draining, so that connections are closed after each response.
     *
     * @return true while the process is draining
     */
    boolean draining();

    /**
     * Returns the metrics in the Prometheus text format.
     *
     * @return the text
     */
    String metrics();
}
