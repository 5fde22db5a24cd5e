package org.knapweedmount.core.chart;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates a chart file: all names are known and unique, all events are handled, all states are reachable. */
final class ChartChecker<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final Class<S> states;
    private final Class<E> events;

    ChartChecker(String name, Class<S> states, Class<E> events) {
        this.name = name;
        this.states = states;
        this.events = events;
    }

    StateChart<S, E> check(ChartFile file) throws ChartException {
        checkNames(events, file.events());
        checkNames(states, file.states().keySet());
        Map<S, Map<E, S>> transitions = new EnumMap<>(states);
        for (S state : states.getEnumConstants()) {
            transitions.put(state, transitions(state, file.states().get(state.name())));
        }
        S initial = constant(states, String.valueOf(file.initial()));
        checkReachable(initial, transitions);
        return new StateChart<>(name, initial, transitions);
    }

    private <K extends Enum<K>> void checkNames(Class<K> expected, Collection<String> names) throws ChartException {
        Set<K> missing = EnumSet.allOf(expected);
        for (String text : names) {
            if (!missing.remove(constant(expected, text))) {
                throw new ChartException(name, "'" + text + "' is declared twice");
            }
        }
        if (!missing.isEmpty()) {
            throw new ChartException(name, "not declared: " + missing);
        }
    }

    private Map<E, S> transitions(S state, ChartFile.State definition) throws ChartException {
        Map<E, S> next = new EnumMap<>(events);
        Set<E> unhandled = EnumSet.allOf(events);
        for (Map.Entry<String, String> transition : definition.transitions().entrySet()) {
            E event = markHandled(state, transition.getKey(), unhandled);
            next.put(event, constant(states, transition.getValue()));
        }
        for (String ignored : definition.ignored()) {
            next.put(markHandled(state, ignored, unhandled), state);
        }
        for (String illegal : definition.illegal()) {
            markHandled(state, illegal, unhandled);
        }
        if (!unhandled.isEmpty()) {
            throw new ChartException(name, "state " + state + " does not handle " + unhandled);
        }
        return next;
    }

    private E markHandled(S state, String text, Set<E> unhandled) throws ChartException {
        E event = constant(events, text);
        if (!unhandled.remove(event)) {
            throw new ChartException(name, "state " + state + " handles " + event + " twice");
        }
        return event;
    }

    private void checkReachable(S initial, Map<S, Map<E, S>> transitions) throws ChartException {
        Set<S> unreachable = EnumSet.allOf(states);
        Deque<S> pending = new ArrayDeque<>(List.of(initial));
        while (!pending.isEmpty()) {
            S state = pending.remove();
            if (unreachable.remove(state)) {
                pending.addAll(transitions.get(state).values());
            }
        }
        if (!unreachable.isEmpty()) {
            throw new ChartException(name, "unreachable states: " + unreachable);
        }
    }

    private <K extends Enum<K>> K constant(Class<K> type, String text) throws ChartException {
        for (K constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        throw new ChartException(name, "'" + text + "' is not a constant of " + type.getSimpleName());
    }
}
