package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.knapweedmount.api.SubmissionId;

/** Issues this entry's submission IDs and tracks their status. */
final class IdIssuer {
    private final EntryContext context;
    private final LocalRoster roster;
    private final UsedIds usedIds;
    private final TreeMap<Integer, Long> firstSequenceByVersion = new TreeMap<>();
    private long lastSequence;

    /** The status of an ID that names this entry as its issuer. */
    enum IdStatus {
        /** It was not issued. */
        NEVER_ISSUED,
        /** It was issued and not used, so its submission may be started. */
        UNUSED,
        /** It was issued and not used, but its roster version was evicted. */
        EXPIRED,
        /** It was used or may have been used. */
        USED
    }

    IdIssuer(EntryContext context, LocalRoster roster, UsedIds usedIds) {
        this.context = context;
        this.roster = roster;
        this.usedIds = usedIds;
    }

    List<SubmissionId> issue(int count) {
        List<SubmissionId> ids = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            ids.add(issue());
        }
        return ids;
    }

    SubmissionId issue() {
        int version = roster.version();
        lastSequence++;
        if (firstSequenceByVersion.isEmpty() || firstSequenceByVersion.lastKey() < version) {
            firstSequenceByVersion.put(version, lastSequence);
            evictOldVersions();
        }
        usedIds.addIssued(lastSequence);
        return new SubmissionId(context.self(), lastSequence, version);
    }

    IdStatus status(SubmissionId id) {
        if (id.sequence() > lastSequence || !matchesVersion(id)) {
            return IdStatus.NEVER_ISSUED;
        }
        if (usedIds.isUsed(id.sequence())) {
            return IdStatus.USED;
        }
        return roster.agents(id.rosterVersion()).isEmpty() ? IdStatus.EXPIRED : IdStatus.UNUSED;
    }

    /** Records that an ID must not be started again, whatever the outcome of its submission. */
    void markUsed(SubmissionId id) {
        usedIds.markUsed(id.sequence());
    }

    private boolean matchesVersion(SubmissionId id) {
        Map.Entry<Integer, Long> range = firstSequenceByVersion.floorEntry(id.rosterVersion());
        if (range == null) {
            return id.sequence() < firstSequenceByVersion.firstEntry().getValue();
        }
        Map.Entry<Integer, Long> following = firstSequenceByVersion.higherEntry(id.rosterVersion());
        boolean belowNext = following == null || id.sequence() < following.getValue();
        return range.getKey() == id.rosterVersion() && id.sequence() >= range.getValue() && belowNext;
    }

    private void evictOldVersions() {
        while (firstSequenceByVersion.size() > RosterHistory.MAX_VERSIONS) {
            firstSequenceByVersion.pollFirstEntry();
        }
    }
}
