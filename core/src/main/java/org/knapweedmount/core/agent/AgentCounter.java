package org.knapweedmount.core.agent;

/** What an agent counts. */
public enum AgentCounter {
    /** Tasks started on an endpoint. */
    STARTED,
    /** Tasks that an endpoint completed. */
    COMPLETED,
    /** Tasks that an endpoint failed or that broke off. */
    FAILED,
    /** Starts refused because the same sequence number was received before. */
    DUPLICATE_STARTS,
    /** Starts refused because the lease was no longer valid. */
    LAPSED_LEASES,
    /** Starts refused because the submission was sealed. */
    SEALED_STARTS,
    /** Starts refused because of a quota. */
    OVER_QUOTA_STARTS,
    /** Leases granted. */
    GRANTS,
    /** Messages that asked an entry for idle leases back. */
    RECALLS,
    /** Seals answered with certainty. */
    SEALS,
    /** Seals that had to be answered without certainty. */
    UNCERTAIN_SEALS,
    /** Seals replaced by a bound on their issuer's sequence numbers to bound memory. */
    FOLDED_SEALS,
    /** Records of submissions discarded to bound memory. */
    EVICTED_RECORDS,
    /** Endpoints set aside because they failed everything. */
    ENDPOINTS_SET_ASIDE
}
