package org.knapweedmount.daemon.http;

import io.vertx.core.Future;

/** Finds the submission ID that a caller's key is bound to. */
@FunctionalInterface
public interface KeyLookup {
    /**
     * Looks up a key.
     *
     * @param team the team that the submission is charged to
     * @param callerKey the key that the caller chose
     * @return the result; never fails
     */
    Future<KeyLookupResult> find(String team, String callerKey);
}
