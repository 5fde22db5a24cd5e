package org.knapweedmount.core.chart;

import java.util.List;
import java.util.Map;

/**
 * The content of a chart's file.
 *
 * @param initial the name of the first state
 * @param events the names of all events
 * @param states the states by name
 */
record ChartFile(String initial, List<String> events, Map<String, State> states) {
    /** Takes what is missing for empty. */
    ChartFile {
        events = events == null ? List.of() : List.copyOf(events);
        states = states == null ? Map.of() : Map.copyOf(states);
    }

    /**
     * One state; each event is named in exactly one of the three parts.
     *
     * @param transitions the next state by event
     * @param ignored the events that change nothing
     * @param illegal the events that never occur in this state
     */
    record State(Map<String, String> transitions, List<String> ignored, List<String> illegal) {
        /** Takes what is missing for empty. */
        State {
            transitions = transitions == null ? Map.of() : Map.copyOf(transitions);
            ignored = ignored == null ? List.of() : List.copyOf(ignored);
            illegal = illegal == null ? List.of() : List.copyOf(illegal);
        }
    }
}
