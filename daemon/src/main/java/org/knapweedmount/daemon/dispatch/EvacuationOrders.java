package org.knapweedmount.daemon.dispatch;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.core.dispatch.DispatchCounter;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/**
 * Tells other entries and agents which data centres the operator has closed.
 *
 * <p>Nothing is sent before the first data centre is closed. An entry is told at each change and on each new link, and also
 * when it sends an older state that differs; an agent is told if its data centre is closed or has been closed before.
 */
final class EvacuationOrders {
    private final DataCentreAccess access;
    private final DispatchOutput output;
    private final Set<Incarnation> entries = new LinkedHashSet<>();
    private final Set<Incarnation> agents = new LinkedHashSet<>();
    private boolean everClosed;

    EvacuationOrders(DataCentreAccess access, DispatchOutput output) {
        this.access = access;
        this.output = output;
    }

    /** Applies a state that was read from the store or received from another entry, and passes on a change. */
    void apply(ClosedDataCentres update, String source, long nowNanos) {
        Optional<DataCentreAccess.Change> applied = access.apply(update, nowNanos);
        if (applied.isEmpty()) {
            return;
        }
        everClosed |= !update.names().isEmpty();
        DataCentreAccess.Change change = applied.get();
        if (!change.isEmpty()) {
            output.logEvent(
                    "data-centres-closed",
                    "version=" + update.version() + " closed=" + new TreeSet<>(update.names()) + " newly-closed="
                            + new TreeSet<>(change.closed()) + " reopened=" + new TreeSet<>(change.reopened())
                            + " from="
                            + source);
            change.closed().forEach(name -> output.count(DispatchCounter.DATA_CENTRES_CLOSED));
            change.reopened().forEach(name -> output.count(DispatchCounter.DATA_CENTRES_REOPENED));
            entries.forEach(this::sendState);
        }
        // A closed agent is told a newer version even without a change, so that an outdated notice does not prevail.
        Set<String> told = new HashSet<>(update.names());
        told.addAll(change.reopened());
        agents.stream().filter(agent -> access.isIn(agent, told)).forEach(this::sendNotice);
    }

    /** Handles the state of another entry; one that has missed a change is told the present state. */
    void received(Incarnation from, ClosedDataCentres update, long nowNanos) {
        apply(update, from.process(), nowNanos);
        if (access.isOutdated(update)) {
            sendState(from);
        }
    }

    private void sendState(Incarnation entry) {
        output.send(entry, access.state());
    }

    private void sendNotice(Incarnation agent) {
        access.noticeFor(agent).ifPresent(notice -> output.send(agent, notice));
    }

    void entryLinked(Incarnation entry) {
        entries.add(entry);
        if (everClosed) {
            sendState(entry);
        }
    }

    void agentLinked(PeerAddress agent) {
        access.agentLinked(agent);
        agents.add(agent.incarnation());
        sendNotice(agent.incarnation());
    }

    void unlinked(Incarnation peer) {
        entries.remove(peer);
        agents.remove(peer);
    }
}
