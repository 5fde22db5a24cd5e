package org.knapweedmount.standins.executor;

import org.knapweedmount.standins.support.HostPort;

/**
 * The configuration of an endpoint.
 *
 * @param id the ID of the endpoint
 * @param port the TCP port to listen on, 0 to use any free port
 * @param announcement the announcement to the agent; its port is replaced by the port on which the endpoint listens
 * @param agent the address on which the agent listens
 * @param extraDelayMicros the time added to the run time of each task, in µs
 * @param usageLagMillis the time from the start of a task to the report of its resource usage, in ms
 * @param control the initial fault-injection settings
 */
public record EndpointSpec(
        String id,
        int port,
        Announcement announcement,
        HostPort agent,
        int extraDelayMicros,
        int usageLagMillis,
        ExecutorControl control) {}
