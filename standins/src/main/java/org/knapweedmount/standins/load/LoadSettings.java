package org.knapweedmount.standins.load;

import java.util.List;

import org.knapweedmount.standins.support.HostPort;

/**
 * The settings of a load.
 *
 * @param entries the entries, to which requests are sent round-robin
 * @param flows the flows of requests
 * @param ratePerSecond the rate of a flow with share 1, in requests per second
 * @param seconds the duration of the load, in s
 * @param warmUpMicros the time at the start during which requests are not recorded, in µs
 * @param resubmitShare the fraction of requests, from 0 to 1, that are resubmitted through another entry
 * @param seed the seed of the random arrivals and run times
 * @param idealOverheadMicros the time added to the run time to get the ideal response time, in µs
 * @param timeoutMillis the timeout of each request, in ms
 * @param connections the maximum number of connections to each entry
 * @param maxInFlight the maximum number of requests in flight; further requests are not sent
 * @param awaitMillis the longest time to wait for responses after the last request, in ms
 */
record LoadSettings(
        List<HostPort> entries,
        List<LoadFlow> flows,
        double ratePerSecond,
        double seconds,
        long warmUpMicros,
        double resubmitShare,
        long seed,
        int idealOverheadMicros,
        int timeoutMillis,
        int connections,
        int maxInFlight,
        int awaitMillis) {
    private static final double MICROS_PER_SECOND = 1_000_000;

    LoadSettings {
        entries = List.copyOf(entries);
        flows = List.copyOf(flows);
    }

    /** Returns the time during which the requests of a flow are recorded, in s. */
    double recordedSeconds(LoadFlow flow) {
        double from = Math.max(flow.fromSecond(), warmUpMicros / MICROS_PER_SECOND);
        return Math.max(0, Math.min(flow.toSecond(), seconds) - from);
    }

    ArrivalPlan plan() {
        return new ArrivalPlan(flows, ratePerSecond, seconds, resubmitShare, seed);
    }
}
