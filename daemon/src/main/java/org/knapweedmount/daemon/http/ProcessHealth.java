package org.knapweedmount.daemon.http;

/** What the pages about the process show; any thread may call it. */
public interface ProcessHealth {
    /**
     * Tells whether the process takes requests.
     *
     * @return an empty text if it does, else why not
     */
    String notReadyReason();

    /**
     * Tells whether the process is stopping, so that connections are to be closed after each answer.
     *
     * @return true while it is stopping
     */
    boolean draining();

    /**
     * Gives the metrics in the format of Prometheus.
     *
     * @return the text
     */
    String metrics();
}
