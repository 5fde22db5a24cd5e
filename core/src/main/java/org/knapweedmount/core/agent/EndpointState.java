package org.knapweedmount.core.agent;

/** States of an endpoint; the transitions are defined in {@code endpoint.json}. */
enum EndpointState {
    /** All slots may be used. */
    ACTIVE {
        @Override
        int usable(int slots) {
            return slots;
        }

        @Override
        int advertised(int slots) {
            return slots;
        }
    },
    /** Paused after consecutive failures; no task is sent until the pause has ended or a running task has succeeded. */
    PAUSED {
        @Override
        int advertised(int slots) {
            return 1;
        }
    },
    /** Limited to one task at a time after a pause; a success ends the trial, a failure starts another pause. */
    TRIAL {
        @Override
        int usable(int slots) {
            return 1;
        }

        @Override
        int advertised(int slots) {
            return 1;
        }
    },
    /** Signed off or expired, with tasks still running. */
    LEAVING,
    /** Signed off or expired, with no running tasks. */
    GONE;

    /** Returns the number of concurrent tasks allowed, 0 unless overridden. */
    int usable(int slots) {
        return 0;
    }

    /** Returns the number of slots reported to entries, 0 unless overridden. */
    int advertised(int slots) {
        return 0;
    }
}
