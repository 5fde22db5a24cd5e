package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.OwnershipProbe;

/**
 * The times as of which the jobs of other entries are known.
 *
 * <p>An entry answers a probe after it has told all jobs that it held then, so the answer shows that its jobs are known as
 * of the time at which the probe was sent. That time is taken by the clock of this entry: neither the clocks of others nor
 * the delay of a message can make the knowledge look more recent than it is.
 */
final class PeerKnowledge {
    private static final int MAX_ENTRIES = 256;
    private static final int MAX_OPEN_PROBES = 1_024;

    private final DispatchOutput output;
    private final Map<Long, Probe> openProbes = new LinkedHashMap<>();
    private final Map<Incarnation, Long> lastProbeNanos = new HashMap<>();
    private final Map<Incarnation, Long> knownAsOfNanos = new LinkedHashMap<>();
    private long lastNumber;

    private record Probe(Incarnation peer, long sentNanos) {}

    PeerKnowledge(DispatchOutput output) {
        this.output = output;
    }

    /** Sends a probe to a linked entry unless one was sent at or after a time. */
    void probeUnlessSentSince(Incarnation peer, long sinceNanos, long nowNanos) {
        Long last = lastProbeNanos.get(peer);
        if (last != null && last - sinceNanos >= 0) {
            return;
        }
        lastNumber++;
        openProbes.put(lastNumber, new Probe(peer, nowNanos));
        removeOldest(openProbes, MAX_OPEN_PROBES);
        lastProbeNanos.put(peer, nowNanos);
        output.send(peer, new OwnershipProbe(lastNumber));
    }

    /** Records the answer of an entry to a probe. */
    void probeAnswered(Incarnation peer, long number) {
        Probe probe = openProbes.get(number);
        if (probe == null || !probe.peer().equals(peer)) {
            return;
        }
        openProbes.remove(number);
        knownAsOfNanos.merge(peer, probe.sentNanos(), (one, other) -> one - other > 0 ? one : other);
        removeOldest(knownAsOfNanos, MAX_ENTRIES);
    }

    private static void removeOldest(Map<?, ?> map, int limit) {
        if (map.size() > limit) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** Returns whether any answer of an entry has been received. */
    boolean isKnown(Incarnation entry) {
        return knownAsOfNanos.containsKey(entry);
    }

    /** Returns whether the jobs are known that an entry held at a time. */
    boolean isKnownAsOf(Incarnation entry, long nanos) {
        Long asOf = knownAsOfNanos.get(entry);
        return asOf != null && asOf - nanos >= 0;
    }

    /** Forgets the probes to an entry whose link is lost, and their answers with them. */
    void unlinked(Incarnation peer) {
        lastProbeNanos.remove(peer);
        openProbes.values().removeIf(probe -> probe.peer().equals(peer));
    }

    /** Forgets all times, as this entry's clock stood still and they look more recent than they are. */
    void clockLost() {
        openProbes.clear();
        lastProbeNanos.clear();
        knownAsOfNanos.clear();
    }
}
