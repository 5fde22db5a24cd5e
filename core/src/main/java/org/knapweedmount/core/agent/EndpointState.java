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
        int usable(int slots) {
            return 0;
        }

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
    LEAVING {
        @Override
        int usable(int slots) {
            return 0;
        }

        @Override
        int advertised(int slots) {
            return 0;
        }
    },
    /** Gone, with nothing running. */
    GONE {
        @Override
        int usable(int slots) {
            return 0;
        }

        @Override
        int advertised(int slots) {
            return 0;
        }
    };

    /** Returns how many tasks may run at a time. */
    abstract int usable(int slots);

    /** Returns how many slots entries are told of. */
    abstract int advertised(int slots);
}
