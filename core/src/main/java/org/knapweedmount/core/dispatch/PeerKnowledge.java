package org.knapweedmount.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
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
 * one is answered or some time after it, so that the probes grow with the entries and with time, but not with the requests.
 */
final class PeerKnowledge {
    private static final int MAX_ENTRIES = 256;

    /** The number of open probes of one entry; more cover a longer time than any link lasts without an answer. */
    private static final int MAX_OPEN_PROBES = 64;

    private final DispatchOutput output;
    private final Map<Incarnation, SentProbes> sentProbes = new HashMap<>();
    private final Map<Incarnation, Long> requiredNanos = new HashMap<>();
    private final Map<Incarnation, Long> knownAsOfNanos = new LinkedHashMap<>();
    private long lastNumber;

    private record Probe(long number, long sentNanos) {}

    /** The probes of an entry that are not answered, and when the last one was sent. */
    private static final class SentProbes {
        private final Deque<Probe> open = new ArrayDeque<>();
        private long lastSentNanos;
    }

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
        SentProbes sent = sentProbes.get(peer);
        if (required == null || sent == null) {
            return required != null;
        }
        long minAgeNanos =
                sent.open.isEmpty() ? DispatchTimings.MIN_PROBE_INTERVAL_NANOS : DispatchTimings.PROBE_INTERVAL_NANOS;
        return sent.lastSentNanos - required < 0 && nowNanos - sent.lastSentNanos >= minAgeNanos;
    }

    /** Sends a probe to a linked entry. */
    void probe(Incarnation peer, long nowNanos) {
        lastNumber++;
        SentProbes sent = sentProbes.computeIfAbsent(peer, key -> new SentProbes());
        sent.open.add(new Probe(lastNumber, nowNanos));
        sent.lastSentNanos = nowNanos;
        if (sent.open.size() > MAX_OPEN_PROBES) {
            sent.open.remove();
        }
        output.send(peer, new OwnershipProbe(lastNumber));
    }

    /**
     * Records the answer of an entry to a probe.
     *
     * @param isComplete whether the entry has told all its jobs before it
     */
    void probeAnswered(Incarnation peer, long number, boolean isComplete) {
        SentProbes sent = sentProbes.get(peer);
        if (sent == null) {
            return;
        }
        for (Probe probe = sent.open.peek(); probe != null && probe.number() <= number; probe = sent.open.peek()) {
            sent.open.remove();
            if (probe.number() == number && isComplete) {
                knownAsOfNanos.merge(peer, probe.sentNanos(), PeerKnowledge::later);
                removeOldest(knownAsOfNanos);
            }
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
        sentProbes.remove(peer);
        requiredNanos.remove(peer);
    }

    /** Forgets all times, as this entry's clock stood still and they look more recent than they are. */
    void clockLost() {
        sentProbes.clear();
        requiredNanos.clear();
        knownAsOfNanos.clear();
    }
}
