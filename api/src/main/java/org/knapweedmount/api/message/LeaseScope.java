package org.knapweedmount.api.message;

import org.knapweedmount.api.config.KindConfig;

/** Which tasks a lease may be used for. */
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
     * Tells whether a task of a kind may use such a lease.
     *
     * @param kind the kind
     * @return true if it may
     */
    public abstract boolean admits(KindConfig kind);
}
