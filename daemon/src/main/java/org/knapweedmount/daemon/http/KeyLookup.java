package org.knapweedmount.daemon.http;

import io.vertx.core.Future;

/** Finds the submission that a caller's own key stands for. */
@FunctionalInterface
public interface KeyLookup {
    /**
     * Looks a key up in the table service.
     *
     * @param team the team that the submission is charged to
     * @param callerKey the caller's own key
     * @return the result; never fails
     */
    Future<KeyLookupResult> find(String team, String callerKey);
}
