package org.knapweedmount.core.agent;

import java.util.Objects;

import org.knapweedmount.api.Resources;

/**
 * The announcement of an endpoint or worker to its agent, repeated as its heartbeat.
 *
 * @param id the endpoint's ID, chosen by the endpoint
 * @param service the service that it runs
 * @param host the IP address that it listens on
 * @param port the TCP port that it listens on
 * @param slots the maximum number of concurrent tasks
 * @param connections the maximum number of connections
 * @param ttlMillis the time after which the announcement expires unless repeated, in ms
 * @param resources the resources of a worker, {@link Resources#NONE} if slots are the only limit
 */
public record EndpointAnnouncement(
        String id,
        String service,
        String host,
        int port,
        int slots,
        int connections,
        int ttlMillis,
        Resources resources) {
    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a number is less than 1
     */
    public EndpointAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(resources, "resources");
        if (port < 1 || slots < 1 || connections < 1 || ttlMillis < 1) {
            throw new IllegalArgumentException(
                    "endpoint announcement: port, slots, connections and ttlMillis must be at least 1, got " + port
                            + ", " + slots + ", " + connections + " and " + ttlMillis);
        }
    }
}
