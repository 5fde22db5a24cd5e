package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The planned stops of entries, and the check that no request is lost by one.
 *
 * <p>Times are in ms since the start of the soak. Confined to one event loop.
 */
final class PlannedStops {
    /** The platform's bound for a request that an entry does not serve while it stops, in ms. */
    private static final int LOSS_SLACK_MILLIS = 200;

    /** The time since SIGTERM after which an entry must not take a request that it then gives up, in ms. */
    private static final int LATE_REQUEST_MILLIS = 3_000;

    private static final int GATEWAY_TIMEOUT = 504;

    private final Map<String, Long> signalMillis = new HashMap<>();
    private final Map<String, List<Pause>> pauses = new HashMap<>();

    /** A time during which a process is suspended; the last one of a process may not have ended. */
    private record Pause(long startMillis, long endMillis) {
        long overlapMillis(long fromMillis, long toMillis) {
            return Math.max(0, Math.min(endMillis, toMillis) - Math.max(startMillis, fromMillis));
        }
    }

    /** How a request ended that was wholly sent. */
    sealed interface End {
        /** A whole answer. */
        record Answered(int status) implements End {}

        /** The connection was closed without a whole answer. */
        record Closed() implements End {}

        /** The caller left. */
        record Left() implements End {}
    }

    /**
     * A request that was wholly sent to an entry.
     *
     * @param job the job's ID
     * @param entry the entry
     * @param sentMillis when it was sent
     */
    record Request(String job, String entry, long sentMillis) {}

    /** Records that an entry is sent SIGTERM. */
    void signalled(String entry, long millis) {
        signalMillis.put(entry, millis);
    }

    /** Records that a process is started again. */
    void started(String entry) {
        signalMillis.remove(entry);
    }

    /** Records that a process is suspended. */
    void paused(String entry, long millis) {
        pauses.computeIfAbsent(entry, key -> new ArrayList<>()).add(new Pause(millis, Long.MAX_VALUE));
    }

    /** Records that a process goes on that was suspended. */
    void resumed(String entry, long millis) {
        pauses.getOrDefault(entry, List.of())
                .replaceAll(pause -> new Pause(pause.startMillis(), Math.min(pause.endMillis(), millis)));
    }

    /** Returns the violation if a request was lost by the planned stop of its entry. */
    Optional<Violation> check(Request request, End end, long millis) {
        Long stop = signalMillis.get(request.entry());
        if (stop == null || !isLost(request, stop, end, millis)) {
            return Optional.empty();
        }
        String detail = "job " + request.job() + ": " + request.entry() + " got SIGTERM at " + stop
                + "; the request was sent " + (request.sentMillis() - stop) + " ms after that; " + end + " "
                + (millis - stop) + " ms after that";
        return Optional.of(new Violation(Violation.Rule.LOST, millis, detail));
    }

    private boolean isLost(Request request, long stopMillis, End end, long millis) {
        if (millis - request.sentMillis() - pausedMillis(request, millis) <= LOSS_SLACK_MILLIS) {
            return false;
        }
        if (end instanceof End.Answered answer) {
            return answer.status() == GATEWAY_TIMEOUT && request.sentMillis() - stopMillis > LATE_REQUEST_MILLIS;
        }
        return end instanceof End.Closed;
    }

    private long pausedMillis(Request request, long millis) {
        return pauses.getOrDefault(request.entry(), List.of()).stream()
                .mapToLong(pause -> pause.overlapMillis(request.sentMillis(), millis))
                .sum();
    }
}
