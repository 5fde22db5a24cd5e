package org.knapweedmount.api;

import java.util.Objects;

/**
 * The tasks of one kind that one team submits: the unit that shares slots and is queued in order of arrival.
 *
 * @param kind the name of the kind
 * @param team the name of the team
 */
public record Flow(String kind, String team) {
    /** Checks that nothing is missing. */
    public Flow {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(team, "team");
    }

    @Override
    public String toString() {
        return kind + "/" + team;
    }
}
