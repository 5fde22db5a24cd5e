package org.knapweedmount.core.worker;

/**
 * One life of a worker, from its start to its end.
 *
 * @param id the worker's id, which a later life may have again
 * @param startMillis when the life began, in ms since 1970 by the worker's clock
 */
public record WorkerIncarnation(String id, long startMillis) {
    @Override
    public String toString() {
        return id + "@" + startMillis;
    }
}
