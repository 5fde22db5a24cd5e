package org.knapweedmount.core.fleet;

import java.util.Random;

/** A fault injected into a random part of the fleet; temporary faults end after a random time. */
enum Fault {
    ENTRY_REPLACED {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            fleet.replaceEntry(random.nextInt(fleet.entries().size()));
        }
    },
    AGENT_REPLACED {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            fleet.replaceAgent(random.nextInt(fleet.agents().size()));
        }
    },
    PROCESS_PAUSED {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            FakeProcess process = fleet.randomProcess();
            process.pause();
            later(fleet, random, spreadMillis, process::resume);
        }
    },
    LINK_LOST {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            fleet.network().disconnect(fleet.randomProcess(), fleet.randomProcess());
        }
    },
    AGENT_DRAINED {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            int index = random.nextInt(fleet.agents().size());
            FakeAgent agent = fleet.agents().get(index);
            agent.deliver(agent::drain);
            later(fleet, random, spreadMillis, () -> replaceIfPresent(fleet, agent));
        }
    },
    AGENT_STOPPED {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            FakeAgent agent = fleet.agents().get(random.nextInt(fleet.agents().size()));
            agent.deliver(agent::drain);
            replaceWhenIdle(fleet, agent);
        }
    },
    REGIONS_PARTITIONED {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            fleet.regionsPartitioned(true);
            later(fleet, random, spreadMillis, () -> fleet.regionsPartitioned(false));
        }
    },
    STORE_DOWN {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            fleet.store().unavailable(true);
            later(fleet, random, spreadMillis, () -> fleet.store().unavailable(false));
        }
    },
    STORE_LOSES_RESPONSES {
        @Override
        void inject(FakeFleet fleet, Random random, int spreadMillis) {
            fleet.store().losesResponses(true);
            later(fleet, random, spreadMillis, () -> fleet.store().losesResponses(false));
        }
    };

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Time that a process takes to flush its links in a planned stop, in ns. */
    private static final long FLUSH_NANOS = 5 * NANOS_PER_MILLI;

    abstract void inject(FakeFleet fleet, Random random, int spreadMillis);

    private static void later(FakeFleet fleet, Random random, int spreadMillis, Runnable action) {
        fleet.scheduler().after(random.nextInt(spreadMillis) * NANOS_PER_MILLI, action);
    }

    private static void replaceWhenIdle(FakeFleet fleet, FakeAgent agent) {
        if (agent.idle()) {
            fleet.scheduler().after(FLUSH_NANOS, () -> replaceIfPresent(fleet, agent));
            return;
        }
        fleet.scheduler().after(NANOS_PER_MILLI, () -> replaceWhenIdle(fleet, agent));
    }

    private static void replaceIfPresent(FakeFleet fleet, FakeAgent agent) {
        int index = fleet.agents().indexOf(agent);
        if (index >= 0) {
            fleet.replaceAgent(index);
        }
    }
}
