package org.knapweedmount.core.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.EvacuationNotice;

/**
 * What an entry knows of closed data centres, and how much of the capacity of each agent's worker it may use.
 *
 * <p>Not thread-safe. A newer version replaces an older one, never the other way round.
 */
public final class DataCentreAccess {
    private final Map<Incarnation, String> locations = new HashMap<>();
    private final Map<String, Long> reopenedNanos = new HashMap<>();
    private ClosedDataCentres state = ClosedDataCentres.UNKNOWN;

    /**
     * The data centres whose state has changed.
     *
     * @param closed the data centres that are closed now and were open
     * @param reopened the data centres that are open now and were closed
     */
    public record Change(Set<String> closed, Set<String> reopened) {
        /** Copies the sets. */
        public Change {
            closed = Set.copyOf(closed);
            reopened = Set.copyOf(reopened);
        }

        /**
         * Returns whether no data centre was closed or reopened.
         *
         * @return true if only the version has changed
         */
        public boolean isEmpty() {
            return closed.isEmpty() && reopened.isEmpty();
        }
    }

    /** Creates the state of an entry that has read nothing: all data centres are open. */
    public DataCentreAccess() {}

    /**
     * Applies a state if its version is newer.
     *
     * @param update the state that was read from the store or received from another entry
     * @param nowNanos the current time, in ns
     * @return what has changed, empty if the update is not newer
     */
    public Optional<Change> apply(ClosedDataCentres update, long nowNanos) {
        if (update.version() <= state.version()) {
            return Optional.empty();
        }
        Set<String> closed = new HashSet<>(update.names());
        closed.removeAll(state.names());
        Set<String> reopened = new HashSet<>(state.names());
        reopened.removeAll(update.names());
        closed.forEach(reopenedNanos::remove);
        reopened.forEach(name -> reopenedNanos.put(name, nowNanos));
        state = update;
        return Optional.of(new Change(closed, reopened));
    }

    /**
     * Returns the present state.
     *
     * @return the newest state that was applied
     */
    public ClosedDataCentres state() {
        return state;
    }

    /**
     * Returns whether another entry has sent an older state that differs from the present one, and so has missed a change.
     *
     * @param received the state of the other entry
     * @return true if the other entry should be told the present state
     */
    public boolean isOutdated(ClosedDataCentres received) {
        return received.version() < state.version() && !received.names().equals(state.names());
    }

    /**
     * Records the data centre of an agent.
     *
     * @param agent the address of the agent, which names its data centre
     */
    public void agentLinked(PeerAddress agent) {
        locations.put(agent.incarnation(), agent.dataCentre());
    }

    /**
     * Returns what an agent has to be told.
     *
     * @param agent the agent
     * @return the notice; empty if its data centre has not been closed as far as this entry knows
     */
    public Optional<EvacuationNotice> noticeFor(Incarnation agent) {
        String dataCentre = locations.get(agent);
        boolean concerned = dataCentre != null && (isClosed(agent) || reopenedNanos.containsKey(dataCentre));
        return concerned ? Optional.of(new EvacuationNotice(state.version(), isClosed(agent))) : Optional.empty();
    }

    /**
     * Returns whether an agent is in a set of data centres.
     *
     * @param agent the agent
     * @param dataCentres the names of the data centres
     * @return true if the data centre of the agent is known and among them
     */
    public boolean isIn(Incarnation agent, Set<String> dataCentres) {
        String dataCentre = locations.get(agent);
        return dataCentre != null && dataCentres.contains(dataCentre);
    }

    /**
     * Returns whether the data centre of an agent is closed.
     *
     * @param agent the agent
     * @return true if nothing may be started at its worker
     */
    public boolean isClosed(Incarnation agent) {
        // Asked for each worker at each placement, mostly while nothing is closed.
        return !state.names().isEmpty() && isIn(agent, state.names());
    }

    /**
     * Returns how much of the capacity of an agent's worker may be used.
     *
     * @param agent the agent
     * @param nowNanos the current time, in ns
     * @return the admitted capacity, in percent of the whole; 0 if its data centre is closed
     */
    public int admittedPercent(Incarnation agent, long nowNanos) {
        if (state.names().isEmpty() && reopenedNanos.isEmpty()) {
            return ReopeningSteps.ALL_PERCENT;
        }
        if (isClosed(agent)) {
            return 0;
        }
        Long reopened = reopenedNanos.get(locations.getOrDefault(agent, ""));
        return reopened == null ? ReopeningSteps.ALL_PERCENT : ReopeningSteps.admittedPercent(reopened, nowNanos);
    }

    /**
     * Forgets the data centre of an agent whose worker is not known any more.
     *
     * @param agent the agent
     */
    public void agentRemoved(Incarnation agent) {
        locations.remove(agent);
    }
}
