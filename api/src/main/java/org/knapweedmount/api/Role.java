package org.knapweedmount.api;

/** The role of a process. */
public enum Role {
    /** Accepts requests from callers and decides where their tasks run. */
    ENTRY,
    /** Runs next to endpoints and workers, leases their slots to entries and starts tasks on them. */
    AGENT
}
