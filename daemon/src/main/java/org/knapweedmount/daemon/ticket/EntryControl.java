package org.knapweedmount.daemon.ticket;

import io.vertx.core.Future;
import org.knapweedmount.daemon.http.HttpResponse;

/** The status of the entry and its drain, for the operators' interface. */
public interface EntryControl {
    /**
     * Returns the status of the entry.
     *
     * @return the HTTP response with the status; never fails
     */
    Future<HttpResponse> status();

    /** Starts to drain the entry: it accepts no new work. */
    void drain();
}
