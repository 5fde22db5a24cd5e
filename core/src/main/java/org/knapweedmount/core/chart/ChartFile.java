package org.knapweedmount.core.chart;

import java.util.List;
import java.util.Map;

/**
 * The content of a chart file.
 *
 * @param initial the name of the initial state
 * @param events the names of all events
 * @param states the states by name
 */
record ChartFile(String initial, List<String> events, Map<String, State> states) {
    /** Replaces missing collections by empty ones. */
    ChartFile {
        events = events == null ? List.of() : List.copyOf(events);
        states = states == null ? Map.of() : Map.copyOf(states);
    }

    /**
     * One state; each event is listed in exactly one of the three components.
     *
     * @param transitions the next state by event
     * @param ignored the events that leave the state unchanged
     * @param illegal the events that must not occur in this state
     */
    record State(Map<String, String> transitions, List<String> ignored, List<String> illegal) {
        /** Replaces missing collections by empty ones. */
        State {
            transitions = transitions == null ? Map.of() : Map.copyOf(transitions);
            ignored = ignored == null ? List.of() : List.copyOf(ignored);
            illegal = illegal == null ? List.of() : List.copyOf(illegal);
        }
    }
}
