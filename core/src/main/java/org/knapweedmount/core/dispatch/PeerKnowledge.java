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
 *
 * <p>Load pattern: many requests wait for the answer of one entry. They share the next probe, which is sent once the last
 * one is answered, so that the probes grow with the entries and with time, but not with the requests.
 */
final class PeerKnowledge {
    private static final int MAX_ENTRIES = 256;

    private final DispatchOutput output;
    private final Map<Incarnation, Probe> lastProbes = new HashMap<>();
    private final Map<Incarnation, Long> requiredNanos = new HashMap<>();
    private final Map<Incarnation, Long> knownAsOfNanos = new LinkedHashMap<>();
    private long lastNumber;

    private record Probe(long number, long sentNanos, boolean answered) {}

    PeerKnowledge(DispatchOutput output) {
        this.output = output;
    }

    /** Requires that the jobs of a linked entry become known as of a time. */
    void require(Incarnation peer, long asOfNanos) {
        requiredNanos.merge(peer, asOfNanos, PeerKnowledge::later);
    }

    private static long later(long one, long other) {
        return one - other > 0 ? one : other;
    }

    /** Returns whether a probe of a linked entry has to be sent now. */
    boolean isProbeDue(Incarnation peer, long nowNanos) {
        Long required = requiredNanos.get(peer);
        Probe last = lastProbes.get(peer);
        if (required == null || last == null) {
            return required != null;
        }
        long ageNanos = nowNanos - last.sentNanos();
        long minAgeNanos =
                last.answered() ? DispatchTimings.MIN_PROBE_INTERVAL_NANOS : DispatchTimings.PROBE_INTERVAL_NANOS;
        return last.sentNanos() - required < 0 && ageNanos >= minAgeNanos;
    }

    /** Sends a probe to a linked entry. */
    void probe(Incarnation peer, long nowNanos) {
        lastNumber++;
        lastProbes.put(peer, new Probe(lastNumber, nowNanos, false));
        output.send(peer, new OwnershipProbe(lastNumber));
    }

    /**
     * Records the answer of an entry to a probe.
     *
     * @param isComplete whether the entry has told all its jobs before it
     */
    void probeAnswered(Incarnation peer, long number, boolean isComplete) {
        Probe probe = lastProbes.get(peer);
        if (probe == null || probe.number() != number) {
            return;
        }
        lastProbes.put(peer, new Probe(number, probe.sentNanos(), true));
        if (isComplete) {
            knownAsOfNanos.merge(peer, probe.sentNanos(), PeerKnowledge::later);
            removeOldest(knownAsOfNanos);
        }
    }

    private static void removeOldest(Map<?, ?> map) {
        if (map.size() > MAX_ENTRIES) {
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
        lastProbes.remove(peer);
        requiredNanos.remove(peer);
    }

    /** Forgets all times, as this entry's clock stood still and they look more recent than they are. */
    void clockLost() {
        lastProbes.clear();
        requiredNanos.clear();
        knownAsOfNanos.clear();
    }
}
