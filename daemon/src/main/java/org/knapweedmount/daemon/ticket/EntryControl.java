package org.knapweedmount.daemon.ticket;

import io.vertx.core.Future;
import org.knapweedmount.daemon.http.HttpResponse;

/** What the owner of the operators' interface provides. */
public interface EntryControl {
    /**
     * Gives the state of the entry.
     *
     * @return the answer to a request for it; never fails
     */
    Future<HttpResponse> status();

    /** Makes the entry take no new work from now on. */
    void drain();
}
