package org.knapweedmount.api;

import java.util.Objects;

/**
 * The tasks of one kind that one team submits; slots are shared between flows, and each flow is a FIFO queue.
 *
 * @param kind the name of the kind
 * @param team the name of the team
 */
public record Flow(String kind, String team) {
    /** Checks that no component is null. */
    public Flow {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(team, "team");
    }

    @Override
    public String toString() {
        return kind + "/" + team;
    }
}
