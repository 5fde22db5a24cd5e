package org.knapweedmount.daemon.store;

import java.util.Set;

/** The result of a transaction, as far as it is known. */
public sealed interface TransactResult {
    /** Its writes have taken effect. */
    record Committed() implements TransactResult {}

    /**
     * It was not executed, because conditions did not hold.
     *
     * @param failed the rows whose conditions did not hold
     */
    record Conflict(Set<RowId> failed) implements TransactResult {
        /** Copies the set. */
        public Conflict {
            failed = Set.copyOf(failed);
        }
    }

    /** It was not executed and never will be, because the table service did not accept it. */
    record Unavailable() implements TransactResult {}

    /** Its answer was lost or was a server error other than 503: it may have taken effect, or may still do so. */
    record Unknown() implements TransactResult {}
}
