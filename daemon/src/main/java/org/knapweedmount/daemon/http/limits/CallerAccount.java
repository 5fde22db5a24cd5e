package org.knapweedmount.daemon.http.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.knapweedmount.daemon.http.limits.ConnectionUse.Phase;

/**
 * The memory and connections that all callers of a process hold, and the decision which connections are closed.
 *
 * <p>Load pattern: many connections whose heads or bodies stop just short of their end, beside ordinary callers. What an
 * ordinary request holds is small and given back soon, so the connection that holds most and has not received anything for
 * longest is closed first.
 *
 * <p>The methods return the connections that are to be closed, and close none. Thread-safe.
 */
final class CallerAccount {
    /** What is closed at once when a bound is exceeded, so that the search is not repeated for each chunk. */
    private static final double FREED_SHARE = 0.125;

    private final CallerLimits ownLimits;
    private final Set<ConnectionUse> connections = new LinkedHashSet<>();
    private final Map<String, AddressUse> addresses = new HashMap<>();
    private volatile CallerLimits limits;
    private long heldBytes;
    private int closingConnections;
    /** What connections that are to be closed still hold. */
    private long closingBytes;

    private int receivingConnections;

    /** What the connections of an address hold. */
    private static final class AddressUse {
        private int connections;
        private long heldBytes;
    }

    /**
     * A connection that is to be closed.
     *
     * @param connection the connection
     * @param reason why it is closed
     */
    record Closing(ConnectionUse connection, Refusal reason) {}

    /**
     * A new connection.
     *
     * @param connection its use
     * @param closings what is to be closed because of it, which may be the connection itself
     */
    record Opened(ConnectionUse connection, List<Closing> closings) {}

    CallerAccount(CallerLimits limits) {
        this.ownLimits = limits;
        this.limits = limits;
    }

    CallerLimits limits() {
        return limits;
    }

    /** Replaces the limits that a configuration states. */
    void configure(RequestLimits.Configured configured) {
        limits = ownLimits.with(configured);
    }

    synchronized long heldBytes() {
        return heldBytes;
    }

    synchronized int connections() {
        return connections.size();
    }

    /** Returns the number of connections that are to be closed and are still open. */
    synchronized int closingConnections() {
        return closingConnections;
    }

    /** Returns the number of connections that are receiving a request and are not to be closed. */
    synchronized int receivingConnections() {
        return receivingConnections;
    }

    /**
     * Returns whether nothing should be decoded at present, as connections that are to be closed still hold what makes up
     * the bound of the process; they are closed within a turn of the event loop.
     */
    synchronized boolean isFull() {
        return heldBytes + closingBytes > limits.memory().maxHeldBytes();
    }

    /** Records that a connection that is to be closed holds nothing but a given number of bytes any more. */
    synchronized void dropped(ConnectionUse use, long leftBytes) {
        long left = Math.min(leftBytes, use.closingBytes);
        closingBytes -= use.closingBytes - left;
        use.closingBytes = left;
    }

    /** Records a new connection. */
    synchronized Opened open(String address, Consumer<Refusal> closer, long nowNanos) {
        ConnectionUse opened = new ConnectionUse(address, closer, nowNanos);
        List<Closing> closings = new ArrayList<>();
        AddressUse ofAddress = addresses.computeIfAbsent(address, name -> new AddressUse());
        connections.add(opened);
        ofAddress.connections++;
        if (ofAddress.connections > limits.connections().maxPerAddress()) {
            makeRoom(opened, use -> use.address.equals(address), Refusal.ADDRESS_CONNECTIONS, nowNanos, closings);
        } else if (connections.size() - closingConnections
                > limits.connections().maxConnections()) {
            makeRoom(opened, use -> true, Refusal.CONNECTIONS, nowNanos, closings);
        }
        return new Opened(opened, closings);
    }

    private void makeRoom(
            ConnectionUse opened,
            Predicate<ConnectionUse> candidates,
            Refusal reason,
            long nowNanos,
            List<Closing> closings) {
        Optional<ConnectionUse> stalled = connections.stream()
                .filter(candidates)
                .filter(use -> use.isStalled(nowNanos))
                .min(Comparator.comparingLong(ConnectionUse::stalledSince));
        close(stalled.orElse(opened), reason, closings);
    }

    private void close(ConnectionUse use, Refusal reason, List<Closing> closings) {
        if (!use.closing) {
            leavePhase(use);
            use.closing = true;
            closingConnections++;
            use.closingBytes = use.heldBytes();
            closingBytes += use.closingBytes;
            hold(use, -use.heldBytes());
            use.clearHeldBytes();
            closings.add(new Closing(use, reason));
        }
    }

    private void enter(ConnectionUse use, Phase phase, long nowNanos) {
        leavePhase(use);
        use.enter(phase, nowNanos);
        receivingConnections += use.isReceiving() ? 1 : 0;
    }

    private void leavePhase(ConnectionUse use) {
        receivingConnections -= use.isReceiving() ? 1 : 0;
    }

    private void hold(ConnectionUse use, long bytes) {
        heldBytes += bytes;
        addresses.get(use.address).heldBytes += bytes;
    }

    /** Records that a connection is closed. */
    synchronized void closed(ConnectionUse use) {
        if (!connections.remove(use)) {
            return;
        }
        if (use.closing) {
            closingConnections--;
        } else {
            leavePhase(use);
        }
        hold(use, -use.heldBytes());
        closingBytes -= use.closingBytes;
        use.closing = true;
        AddressUse ofAddress = addresses.get(use.address);
        ofAddress.connections--;
        if (ofAddress.connections == 0) {
            addresses.remove(use.address);
        }
    }

    /**
     * Records bytes that are about to be decoded.
     *
     * @param skipped how many of them, from the first on, are skipped in front of a request
     */
    synchronized List<Closing> received(ConnectionUse use, int bytes, int skipped, long nowNanos) {
        List<Closing> closings = new ArrayList<>();
        use.lastReadNanos = nowNanos;
        if (use.phase != Phase.IDLE) {
            return closings;
        }
        use.skippedBytes += skipped;
        if (use.skippedBytes > limits.request().maxSkippedBytes()) {
            close(use, Refusal.SKIPPED_BYTES, closings);
        } else if (skipped < bytes) {
            enter(use, Phase.HEAD, nowNanos);
        }
        return closings;
    }

    /**
     * Records what was received and does not make up a part of a request.
     *
     * @param partialBytes the size of the part of a head, or of the lines behind a body, that was received, in bytes
     * @param memoryBytes the memory of it and of what is not decoded, in bytes
     */
    synchronized List<Closing> undecoded(ConnectionUse use, int partialBytes, long memoryBytes, long nowNanos) {
        List<Closing> closings = new ArrayList<>();
        if (use.closing) {
            return closings;
        }
        hold(use, memoryBytes - use.undecodedBytes);
        use.undecodedBytes = memoryBytes;
        if (use.isReceiving()
                && partialBytes - use.skippedBytes > limits.request().maxHeaderBytes()) {
            close(use, Refusal.HEADER_TOO_LARGE, closings);
        }
        checkBounds(use, nowNanos, closings);
        return closings;
    }

    /**
     * Records that a head is complete.
     *
     * @param size its size as received, in bytes
     * @param memoryBytes the memory that it takes until its request is answered, in bytes
     */
    synchronized List<Closing> headRead(ConnectionUse use, int size, int memoryBytes, long nowNanos) {
        List<Closing> closings = new ArrayList<>();
        if (use.closing) {
            return closings;
        }
        enter(use, Phase.BODY, nowNanos);
        use.unanswered++;
        boolean tooLarge = size - use.skippedBytes > limits.request().maxHeaderBytes();
        use.skippedBytes = 0;
        hold(use, memoryBytes - use.headBytes - use.undecodedBytes);
        use.headBytes = memoryBytes;
        use.undecodedBytes = 0;
        if (tooLarge) {
            close(use, Refusal.HEADER_TOO_LARGE, closings);
        }
        return closings;
    }

    /** Records that a part of a body was decoded. */
    synchronized void bodyRead(ConnectionUse use, int bytes, long nowNanos) {
        use.progressBytes += bytes;
        if (use.progressBytes >= RequestLimits.PROGRESS_BYTES) {
            use.progressBytes = 0;
            use.progressNanos = nowNanos;
        }
    }

    /** Records that a body has ended. */
    synchronized void bodyEnded(ConnectionUse use, long nowNanos) {
        if (use.closing) {
            return;
        }
        enter(use, Phase.IDLE, nowNanos);
    }

    /**
     * Records that a response is written, also one to a request whose body has not ended.
     *
     * @param bytes the memory of the response
     */
    synchronized void answerWritten(ConnectionUse use, int bytes, long nowNanos) {
        use.unanswered = Math.max(0, use.unanswered - 1);
        use.answeredRequests++;
        use.answerUnread = true;
        if (use.closing) {
            return;
        }
        hold(use, bytes);
        use.answerBytes += bytes;
        if (use.phase == Phase.IDLE) {
            use.enter(Phase.IDLE, nowNanos);
            hold(use, -use.headBytes);
            use.headBytes = 0;
        }
    }

    /** Records that the operating system has taken the whole of a response. */
    synchronized void answerTaken(ConnectionUse use, long nowNanos) {
        use.answerUnread = false;
        if (use.closing) {
            return;
        }
        hold(use, -use.answerBytes);
        use.answerBytes = 0;
        if (use.phase == Phase.IDLE) {
            use.enter(Phase.IDLE, nowNanos);
        }
    }

    /** Records that more memory is held for the body that a connection receives. */
    synchronized List<Closing> holdBody(ConnectionUse use, int bytes, long nowNanos) {
        List<Closing> closings = new ArrayList<>();
        if (use.closing) {
            return closings;
        }
        use.bodyBytes += bytes;
        hold(use, bytes);
        checkBounds(use, nowNanos, closings);
        return closings;
    }

    /** Takes what is held for a complete body from its connection; returns the bytes, which are held until released. */
    synchronized long detachBody(ConnectionUse use) {
        long bytes = use.bodyBytes;
        use.bodyBytes = 0;
        if (bytes > 0) {
            addresses.get(use.address).heldBytes -= bytes;
        }
        return bytes;
    }

    /** Gives back what was held for a complete body. */
    synchronized void release(long bytes) {
        heldBytes -= bytes;
    }

    /** Marks a connection as one that is to be closed for a reason of its own. */
    synchronized List<Closing> refuse(ConnectionUse use, Refusal reason) {
        List<Closing> closings = new ArrayList<>();
        close(use, reason, closings);
        return closings;
    }

    private void checkBounds(ConnectionUse use, long nowNanos, List<Closing> closings) {
        MemoryBounds memory = limits.memory();
        if (use.heldBytes() > limits.connectionShare()) {
            close(use, Refusal.CONNECTION_SHARE, closings);
        }
        AddressUse ofAddress = addresses.get(use.address);
        if (ofAddress.heldBytes > memory.maxPerAddress()) {
            long target = (long) (memory.maxPerAddress() * (1 - FREED_SHARE));
            for (ConnectionUse worst : byPressure(other -> other.address.equals(use.address), nowNanos)) {
                if (ofAddress.heldBytes <= target) {
                    break;
                }
                close(worst, Refusal.ADDRESS_SHARE, closings);
            }
        }
        if (heldBytes > memory.maxHeldBytes()) {
            long target = (long) (memory.maxHeldBytes() * (1 - FREED_SHARE));
            for (ConnectionUse worst : byPressure(other -> true, nowNanos)) {
                if (heldBytes <= target) {
                    break;
                }
                close(worst, Refusal.MEMORY, closings);
            }
        }
    }

    private List<ConnectionUse> byPressure(Predicate<ConnectionUse> candidates, long nowNanos) {
        return connections.stream()
                .filter(candidates)
                .filter(use -> use.pressure(nowNanos) > 0)
                .sorted(Comparator.<ConnectionUse>comparingDouble(use -> use.pressure(nowNanos))
                        .reversed())
                .toList();
    }

    /** Returns the connections whose time has run out. */
    synchronized List<Closing> overdue(long nowNanos) {
        List<Closing> closings = new ArrayList<>();
        for (ConnectionUse use : connections) {
            if (use.closing) {
                continue;
            }
            use.reasonOverdue(limits.request(), nowNanos).ifPresent(reason -> close(use, reason, closings));
        }
        return closings;
    }
}
