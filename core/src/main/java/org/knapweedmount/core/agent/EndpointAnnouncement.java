package org.knapweedmount.core.agent;

import java.util.Objects;

import org.knapweedmount.api.Resources;

/**
 * What an endpoint or worker announces of itself, repeated as its heartbeat.
 *
 * @param id the endpoint's id, chosen by itself
 * @param service the service that it runs
 * @param host the IP number that it listens on
 * @param port the TCP port that it listens on
 * @param slots how many tasks it runs at a time
 * @param connections how many connections it accepts
 * @param ttlMillis how long the announcement holds unless repeated, in ms
 * @param resources what a worker has, {@link Resources#NONE} if slots are the only limit
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
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public EndpointAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(resources, "resources");
        if (port < 1 || slots < 1 || connections < 1 || ttlMillis < 1) {
            throw new IllegalArgumentException("port, slots, connections and ttlMillis are at least 1");
        }
    }
}
