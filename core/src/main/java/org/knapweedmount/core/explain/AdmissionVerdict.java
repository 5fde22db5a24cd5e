package org.knapweedmount.core.explain;

/** What an entry would do with a job on its arrival. */
public enum AdmissionVerdict {
    /** The job would be queued. */
    ADMITTED,
    /** The work ahead of the job leaves it no chance to meet its target, or no worker is known and it cannot wait for one. */
    OVERLOADED,
    /** No known worker is large enough for its tasks. */
    TOO_LARGE,
    /** The entry stops before the deadline of the job. */
    LEAVING
}
