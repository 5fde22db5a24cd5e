package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.knapweedmount.api.SubmissionId;

/** Issues this entry's submission ids and recognises them. */
final class IdIssuer {
    private final EntryContext context;
    private final LocalRoster roster;
    private final UsedIds used;
    private final TreeMap<Integer, Long> firstSequences = new TreeMap<>();
    private long lastSequence;

    /** What is known of an id that names this entry as its issuer. */
    enum Standing {
        /** It was not issued. */
        NEVER_ISSUED,
        /** It may be started. */
        FRESH,
        /** It was not used, but its roster version is no longer kept. */
        TOO_OLD,
        /** It was used or may have been used. */
        USED
    }

    IdIssuer(EntryContext context, LocalRoster roster, UsedIds used) {
        this.context = context;
        this.roster = roster;
        this.used = used;
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
        if (firstSequences.isEmpty() || firstSequences.lastKey() < version) {
            firstSequences.put(version, lastSequence);
            forgetOldVersions();
        }
        used.issued(lastSequence);
        return new SubmissionId(context.self(), lastSequence, version);
    }

    Standing standing(SubmissionId id) {
        if (id.sequence() > lastSequence || !inVersion(id)) {
            return Standing.NEVER_ISSUED;
        }
        if (used.used(id.sequence())) {
            return Standing.USED;
        }
        return roster.agents(id.rosterVersion()).isEmpty() ? Standing.TOO_OLD : Standing.FRESH;
    }

    /** Notes that an id is not to be started again, whatever becomes of its submission. */
    void use(SubmissionId id) {
        used.use(id.sequence());
    }

    private boolean inVersion(SubmissionId id) {
        Map.Entry<Integer, Long> range = firstSequences.floorEntry(id.rosterVersion());
        if (range == null) {
            return id.sequence() < firstSequences.firstEntry().getValue();
        }
        Map.Entry<Integer, Long> following = firstSequences.higherEntry(id.rosterVersion());
        boolean belowNext = following == null || id.sequence() < following.getValue();
        return range.getKey() == id.rosterVersion() && id.sequence() >= range.getValue() && belowNext;
    }

    private void forgetOldVersions() {
        while (firstSequences.size() > RosterHistory.MAX_VERSIONS) {
            firstSequences.pollFirstEntry();
        }
    }
}
