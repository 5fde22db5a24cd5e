package org.knapweedmount.api.message;

import org.knapweedmount.api.config.KindConfig;

/** The tasks for which a lease may be used. */
public enum LeaseScope {
    /** Tasks of any kind. */
    ANY {
        @Override
        public boolean admits(KindConfig kind) {
            return true;
        }
    },
    /** Tasks of short kinds only. */
    SHORT_ONLY {
        @Override
        public boolean admits(KindConfig kind) {
            return kind.shortTask();
        }
    };

    /**
     * Returns whether a task of a kind may use a lease of this scope.
     *
     * @param kind the kind
     * @return true if it may
     */
    public abstract boolean admits(KindConfig kind);
}
