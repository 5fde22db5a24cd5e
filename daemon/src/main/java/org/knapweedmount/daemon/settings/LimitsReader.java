package org.knapweedmount.daemon.settings;

import java.util.Optional;

import org.knapweedmount.core.agent.AgentLimits;
import org.knapweedmount.core.entry.EntryLimits;

/** Reads the optional sections with limits; missing limits have their default values. */
final class LimitsReader {
    private static final IntRange COUNT = new IntRange(1, 10_000_000);
    private static final IntRange BYTES = new IntRange(1, Integer.MAX_VALUE);
    private static final IntRange MILLIS = new IntRange(1, 3_600_000);

    private LimitsReader() {}

    /** Reads limits from a section. */
    @FunctionalInterface
    private interface Parser<T> {
        T parse(SettingsSection section) throws SettingsException;
    }

    static EntryLimits entry(Optional<SettingsSection> section) throws SettingsException {
        return read(section, EntryLimits.DEFAULT, LimitsReader::entryLimits);
    }

    private static EntryLimits entryLimits(SettingsSection section) throws SettingsException {
        EntryLimits defaults = EntryLimits.DEFAULT;
        return new EntryLimits(
                section.integer("maxQueuedTasks", COUNT, defaults.maxQueuedTasks()),
                section.integer("maxQueuedBytes", BYTES, defaults.maxQueuedBytes()),
                section.integer("maxJobTasks", COUNT, defaults.maxJobTasks()),
                section.integer("maxEndedJobs", COUNT, defaults.maxEndedJobs()),
                section.integer("maxEndedBytes", BYTES, defaults.maxEndedBytes()),
                section.integer("linkTimeoutMillis", MILLIS, defaults.linkTimeoutMillis()),
                section.integer("lostTaskMillis", MILLIS, defaults.lostTaskMillis()),
                section.integer("settleMillis", MILLIS, defaults.settleMillis()),
                section.fraction("retryShare", defaults.retryShare()));
    }

    static AgentLimits agent(Optional<SettingsSection> section) throws SettingsException {
        return read(section, AgentLimits.DEFAULT, LimitsReader::agentLimits);
    }

    private static AgentLimits agentLimits(SettingsSection section) throws SettingsException {
        AgentLimits defaults = AgentLimits.DEFAULT;
        return new AgentLimits(
                section.integer("maxRecords", COUNT, defaults.maxRecords()),
                section.integer("maxResultBytes", BYTES, defaults.maxResultBytes()),
                section.integer("maxSeals", COUNT, defaults.maxSeals()),
                section.integer("linkTimeoutMillis", MILLIS, defaults.linkTimeoutMillis()),
                section.integer("setAsideFailures", COUNT, defaults.setAsideFailures()),
                section.integer("setAsideMillis", MILLIS, defaults.setAsideMillis()));
    }

    private static <T> T read(Optional<SettingsSection> section, T defaults, Parser<T> parser)
            throws SettingsException {
        if (section.isEmpty()) {
            return defaults;
        }
        T limits = parser.parse(section.get());
        section.get().rejectUnknownKeys();
        return limits;
    }
}
