package org.knapweedmount.standins.executor;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.knapweedmount.api.Resources;

/**
 * The body by which an endpoint announces itself to its agent.
 *
 * @param service the service that it runs
 * @param host the IP number that it listens on
 * @param port the TCP port that it listens on
 * @param slots how many tasks it runs at a time
 * @param connections how many connections it accepts
 * @param ttlMillis how long the announcement holds unless repeated, in ms
 * @param resources what a worker has, null for the endpoint of a service
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Announcement(
        String service, String host, int port, int slots, int connections, int ttlMillis, Resources resources) {
    /**
     * Returns this announcement with another port.
     *
     * @param newPort the TCP port
     * @return the changed copy
     */
    public Announcement withPort(int newPort) {
        return new Announcement(service, host, newPort, slots, connections, ttlMillis, resources);
    }
}
