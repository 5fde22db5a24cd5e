package org.knapweedmount.core.agent;

/**
 * Limits on the memory use and the timeouts of an agent.
 *
 * @param maxRecords the maximum number of submissions whose starts and results are kept
 * @param maxResultBytes the maximum total size of the results that are kept, in bytes
 * @param maxSeals the maximum number of seals that are kept individually
 * @param linkTimeoutMillis the time without a message after which the idle leases of an entry are revoked, in ms
 * @param setAsideFailures the number of consecutive failures attributed to an endpoint after which it is paused
 * @param setAsideMillis the duration of the pause before an endpoint is sent a trial task, in ms
 */
public record AgentLimits(
        int maxRecords,
        int maxResultBytes,
        int maxSeals,
        int linkTimeoutMillis,
        int setAsideFailures,
        int setAsideMillis) {
    /** Default limits, sized for a heap of about 12 MB. */
    public static final AgentLimits DEFAULT = new AgentLimits(10_000, 3_000_000, 5_000, 1_500, 5, 2_000);
}
