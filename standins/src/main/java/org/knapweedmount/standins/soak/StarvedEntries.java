package org.knapweedmount.standins.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The entries that lack processor time, and the check that the requests to others are served meanwhile.
 *
 * <p>Times are in ms since the start of the soak. Confined to one event loop.
 */
final class StarvedEntries {
    /** The part of the requests to other entries that may end without an answer; some callers leave early. */
    private static final double MAX_UNSERVED_SHARE = 0.1;

    /** The number of requests from which the part is judged. */
    private static final int MIN_REQUESTS = 50;

    private final Map<Integer, Long> starvedSinceMillis = new HashMap<>();
    private long lastEndMillis;
    private int requests;
    private int unserved;

    /** Records that an entry gets little processor time from now on. */
    void begin(int entry, long millis) {
        starvedSinceMillis.put(entry, millis);
    }

    /** Records that an entry gets all the time that it needs again. */
    void end(int entry, long millis) {
        starvedSinceMillis.remove(entry);
        lastEndMillis = millis;
    }

    /** Records the answer to a request; it counts if another entry than its own lacked time since it was sent. */
    void answered(int entry, long sentMillis, CallerAnswer answer) {
        boolean sentDuringStarvation = !starvedSinceMillis.isEmpty() || sentMillis < lastEndMillis;
        if (sentDuringStarvation && !starvedSinceMillis.containsKey(entry)) {
            requests++;
            unserved += answer == CallerAnswer.NONE ? 1 : 0;
        }
    }

    /** Returns the violation if the requests to other entries were held up. */
    Optional<Violation> check(long millis) {
        if (requests < MIN_REQUESTS || unserved <= MAX_UNSERVED_SHARE * requests) {
            return Optional.empty();
        }
        String detail = unserved + " of " + requests + " requests to entries with enough processor time had no answer";
        return Optional.of(new Violation(Violation.Rule.HELD_UP, millis, detail));
    }
}
