package org.knapweedmount.daemon.entry;

import io.vertx.core.Future;
import org.knapweedmount.daemon.http.CallerApi;
import org.knapweedmount.daemon.ticket.OperatorApi;

/**
 * The HTTP interfaces of an entry.
 *
 * @param callerApi the interface for callers
 * @param callerPort its TCP port
 * @param operatorApi the interface for operators
 * @param operatorPort its TCP port
 */
record EntryHttpApis(CallerApi callerApi, int callerPort, OperatorApi operatorApi, int operatorPort) {
    /** Closes both interfaces after the responses in progress have been sent. */
    Future<Void> close() {
        return Future.join(callerApi.close(), operatorApi.close()).mapEmpty();
    }
}
