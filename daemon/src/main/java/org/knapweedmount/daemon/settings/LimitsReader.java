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

    /** Reads limits from a section. */
    @FunctionalInterface
    private interface Parser<T> {
        T parse(SettingsSection given) throws SettingsException;
    }

    static EntryLimits entry(Optional<SettingsSection> section) throws SettingsException {
        return read(section, EntryLimits.DEFAULT, LimitsReader::entryLimits);
    }

    private static EntryLimits entryLimits(SettingsSection given) throws SettingsException {
        EntryLimits fallback = EntryLimits.DEFAULT;
        return new EntryLimits(
                given.integer("maxQueuedTasks", COUNT, fallback.maxQueuedTasks()),
                given.integer("maxQueuedBytes", BYTES, fallback.maxQueuedBytes()),
                given.integer("maxJobTasks", COUNT, fallback.maxJobTasks()),
                given.integer("maxEndedJobs", COUNT, fallback.maxEndedJobs()),
                given.integer("maxEndedBytes", BYTES, fallback.maxEndedBytes()),
                given.integer("linkTimeoutMillis", MILLIS, fallback.linkTimeoutMillis()),
                given.integer("lostTaskMillis", MILLIS, fallback.lostTaskMillis()),
                given.integer("settleMillis", MILLIS, fallback.settleMillis()),
                given.share("retryShare", fallback.retryShare()));
    }

    static AgentLimits agent(Optional<SettingsSection> section) throws SettingsException {
        return read(section, AgentLimits.DEFAULT, LimitsReader::agentLimits);
    }

    private static AgentLimits agentLimits(SettingsSection given) throws SettingsException {
        AgentLimits fallback = AgentLimits.DEFAULT;
        return new AgentLimits(
                given.integer("maxRecords", COUNT, fallback.maxRecords()),
                given.integer("maxResultBytes", BYTES, fallback.maxResultBytes()),
                given.integer("maxSeals", COUNT, fallback.maxSeals()),
                given.integer("linkTimeoutMillis", MILLIS, fallback.linkTimeoutMillis()),
                given.integer("setAsideFailures", COUNT, fallback.setAsideFailures()),
                given.integer("setAsideMillis", MILLIS, fallback.setAsideMillis()));
    }

    private static <T> T read(Optional<SettingsSection> section, T fallback, Parser<T> parser)
            throws SettingsException {
        if (section.isEmpty()) {
            return fallback;
        }
        T limits = parser.parse(section.get());
        section.get().refuseUnknownKeys();
        return limits;
    }
}
