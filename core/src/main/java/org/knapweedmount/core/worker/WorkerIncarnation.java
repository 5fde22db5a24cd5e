package org.knapweedmount.core.worker;

/**
 * One incarnation of a worker, from its start to its end.
 *
 * @param id the worker's ID, which a later incarnation may reuse
 * @param startMillis when the incarnation started, in ms since 1970 by the worker's clock
 */
public record WorkerIncarnation(String id, long startMillis) {
    @Override
    public String toString() {
        return id + "@" + startMillis;
    }
}
