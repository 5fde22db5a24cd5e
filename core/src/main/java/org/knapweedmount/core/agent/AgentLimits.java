package org.knapweedmount.core.agent;

/**
 * What bounds an agent's memory and waiting.
 *
 * @param maxRecords the number of submissions whose starts and results are remembered
 * @param maxResultBytes the total size of the results that are remembered, in bytes
 * @param maxSeals the number of seals that are remembered one by one
 * @param linkTimeoutMillis how long an entry may be silent before its idle leases go to others, in ms
 * @param setAsideFailures the number of its own failures in a row after which an endpoint gets one task at a time
 * @param setAsideMillis the pause before an endpoint that was set aside is tried again, in ms
 */
public record AgentLimits(
        int maxRecords,
        int maxResultBytes,
        int maxSeals,
        int linkTimeoutMillis,
        int setAsideFailures,
        int setAsideMillis) {
    /** Limits for an agent with a heap of a dozen megabytes. */
    public static final AgentLimits DEFAULT = new AgentLimits(10_000, 3_000_000, 5_000, 1_500, 5, 2_000);
}
