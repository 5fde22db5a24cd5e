package org.knapweedmount.daemon.store;

import java.util.Set;

/** What is known of a transaction after it was sent. */
public sealed interface TransactResult {
    /** Its writes have taken effect. */
    record Committed() implements TransactResult {}

    /**
     * It was not carried out because conditions did not hold.
     *
     * @param failed the rows whose conditions did not hold
     */
    record Conflict(Set<RowId> failed) implements TransactResult {
        /** Copies the set. */
        public Conflict {
            failed = Set.copyOf(failed);
        }
    }

    /** It was not carried out and never will be, because the table service did not take it. */
    record Unavailable() implements TransactResult {}

    /** Its answer was lost: it may have taken effect, or may still do so. */
    record Unknown() implements TransactResult {}
}
