package org.knapweedmount.daemon.settings;

import java.util.Optional;

import org.knapweedmount.core.agent.AgentLimits;
import org.knapweedmount.core.entry.EntryLimits;

/** Reads the optional sections with limits; a limit that is not given has its default. */
final class LimitsReader {
    private static final IntRange COUNT = new IntRange(1, 10_000_000);
    private static final IntRange BYTES = new IntRange(1, Integer.MAX_VALUE);
    private static final IntRange MILLIS = new IntRange(1, 3_600_000);

    private LimitsReader() {}

    static EntryLimits entry(Optional<SettingsSection> section) throws SettingsException {
        EntryLimits fallback = EntryLimits.DEFAULT;
        if (section.isEmpty()) {
            return fallback;
        }
        SettingsSection given = section.get();
        EntryLimits limits = new EntryLimits(
                given.integer("maxQueuedTasks", COUNT, fallback.maxQueuedTasks()),
                given.integer("maxQueuedBytes", BYTES, fallback.maxQueuedBytes()),
                given.integer("maxJobTasks", COUNT, fallback.maxJobTasks()),
                given.integer("maxEndedJobs", COUNT, fallback.maxEndedJobs()),
                given.integer("maxEndedBytes", BYTES, fallback.maxEndedBytes()),
                given.integer("linkTimeoutMillis", MILLIS, fallback.linkTimeoutMillis()),
                given.integer("lostTaskMillis", MILLIS, fallback.lostTaskMillis()),
                given.integer("settleMillis", MILLIS, fallback.settleMillis()),
                given.share("retryShare", fallback.retryShare()));
        given.refuseUnknownKeys();
        return limits;
    }

    static AgentLimits agent(Optional<SettingsSection> section) throws SettingsException {
        AgentLimits fallback = AgentLimits.DEFAULT;
        if (section.isEmpty()) {
            return fallback;
        }
        SettingsSection given = section.get();
        AgentLimits limits = new AgentLimits(
                given.integer("maxRecords", COUNT, fallback.maxRecords()),
                given.integer("maxResultBytes", BYTES, fallback.maxResultBytes()),
                given.integer("maxSeals", COUNT, fallback.maxSeals()),
                given.integer("linkTimeoutMillis", MILLIS, fallback.linkTimeoutMillis()),
                given.integer("setAsideFailures", COUNT, fallback.setAsideFailures()),
                given.integer("setAsideMillis", MILLIS, fallback.setAsideMillis()));
        given.refuseUnknownKeys();
        return limits;
    }
}
