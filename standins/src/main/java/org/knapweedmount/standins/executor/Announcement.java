package org.knapweedmount.standins.executor;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.knapweedmount.api.Resources;

/**
 * The request body with which an endpoint announces itself to its agent.
 *
 * @param service the name of the service that the endpoint runs
 * @param host the IP address on which the endpoint listens
 * @param port the TCP port on which the endpoint listens
 * @param slots the number of tasks that may run concurrently
 * @param connections the largest number of connections that the endpoint accepts
 * @param ttlMillis the time in ms after which the announcement expires unless it is renewed
 * @param resources the capacity of a worker, null for the endpoint of a service
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Announcement(
        String service, String host, int port, int slots, int connections, int ttlMillis, Resources resources) {
    /**
     * Returns a copy of this announcement with another port.
     *
     * @param newPort the TCP port
     * @return the copy
     */
    public Announcement withPort(int newPort) {
        return new Announcement(service, host, newPort, slots, connections, ttlMillis, resources);
    }
}
