package org.knapweedmount.api;

/** What a process of the system does. */
public enum Role {
    /** Takes requests from callers and decides where their tasks run. */
    ENTRY,
    /** Runs beside endpoints and workers, hands out their slots and starts tasks on them. */
    AGENT
}
