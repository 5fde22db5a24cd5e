package org.knapweedmount.core.agent;

/** Counters of an agent. */
public enum AgentCounter {
    /** Tasks sent to an endpoint. */
    STARTED,
    /** Tasks that ended with the outcome complete. */
    COMPLETED,
    /** Tasks that reached an endpoint and ended with an outcome other than complete. */
    FAILED,
    /** Starts not carried out because they, or the task that they start, were received before. */
    DUPLICATE_STARTS,
    /** Starts refused because their lease was not valid or no endpoint had room for the task. */
    LAPSED_LEASES,
    /** Starts refused because the submission was sealed. */
    SEALED_STARTS,
    /** Starts refused because the team had reached its quota. */
    OVER_QUOTA_STARTS,
    /** Leases granted. */
    GRANTS,
    /** Recall messages sent to entries. */
    RECALLS,
    /** Seals answered with certainty about what was started. */
    SEALS,
    /** Seals answered without certainty, because the seal or a record could not be kept. */
    UNCERTAIN_SEALS,
    /** Seals folded into a bound on the sequence numbers of their issuer to limit memory. */
    FOLDED_SEALS,
    /** Records of submissions evicted to limit memory. */
    EVICTED_RECORDS,
    /** Times that an endpoint was paused after consecutive failures. */
    ENDPOINTS_SET_ASIDE
}
