package org.knapweedmount.standins.executor;

import org.knapweedmount.standins.support.HostPort;

/**
 * How an endpoint is set up.
 *
 * @param id the endpoint's id
 * @param port the TCP port to listen on, 0 for any free one
 * @param announcement what it announces; its port is replaced by the one that it listens on
 * @param agent where its agent listens
 * @param extraDelayMicros what is added to each run time, in µs
 * @param usageLagMillis the time from a start to the report of its use, in ms
 * @param control the position of its switches after the start
 */
public record EndpointSpec(
        String id,
        int port,
        Announcement announcement,
        HostPort agent,
        int extraDelayMicros,
        int usageLagMillis,
        ExecutorControl control) {}
