package org.knapweedmount.standins.soak;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.RequestOptions;
import org.knapweedmount.daemon.store.Exchange;

/** How the requests of callers reach an entry. */
@FunctionalInterface
interface JobSender {
    /**
     * Sends a job.
     *
     * @param entry the number of the entry that the caller asks for, from 0
     * @param job the job's ID
     * @param options the request line and further headers
     * @param body the body
     * @param timeoutMillis the time after which the caller leaves, in ms
     * @return the result; never fails
     */
    Future<Exchange.Result> send(int entry, String job, RequestOptions options, Buffer body, int timeoutMillis);
}
