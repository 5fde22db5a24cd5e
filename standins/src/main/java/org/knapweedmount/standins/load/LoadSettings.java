package org.knapweedmount.standins.load;

import java.util.List;

import org.knapweedmount.standins.support.HostPort;

/**
 * What a load consists of.
 *
 * @param entries the entries, which take the requests in turn
 * @param flows the flows
 * @param ratePerSecond the rate of a flow with the share 1, in requests a second
 * @param seconds how long requests are sent, in s
 * @param warmUpMicros how long the first requests are not recorded, in µs
 * @param resubmitShare the share of requests, from 0 to 1, that are sent again through another entry
 * @param seed what the arrivals and run times are drawn from
 * @param idealOverheadMicros what is added to the run time for the ideal response time, in µs
 * @param timeoutMillis how long an answer is awaited, in ms
 * @param connections the largest number of connections to each entry
 * @param maxInFlight the number of requests in flight from which on further ones are not sent
 * @param awaitMillis how long answers are awaited after the last request, in ms
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

    /** Returns how long the requests of a flow are recorded, in s. */
    double recordedSeconds(LoadFlow flow) {
        double from = Math.max(flow.fromSecond(), warmUpMicros / MICROS_PER_SECOND);
        return Math.max(0, Math.min(flow.toSecond(), seconds) - from);
    }

    ArrivalPlan plan() {
        return new ArrivalPlan(flows, ratePerSecond, seconds, resubmitShare, seed);
    }
}
