package org.knapweedmount.core.agent;

/** Where an endpoint is in its life; the steps between the states are in {@code endpoint.json}. */
enum EndpointState {
    /** All slots are in use. */
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
    /** Set aside after repeated failures; it gets no task until the pause has ended. */
    PAUSED {
        @Override
        int advertised(int slots) {
            return 1;
        }
    },
    /** Set aside and tried with one task at a time. */
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
    /** Gone from the announcements, with tasks that still run. */
    LEAVING,
    /** Gone, with nothing running. */
    GONE;

    /** Returns how many tasks may run at a time, none unless the state overrides it. */
    int usable(int slots) {
        return 0;
    }

    /** Returns how many slots entries are told of, none unless the state overrides it. */
    int advertised(int slots) {
        return 0;
    }
}
