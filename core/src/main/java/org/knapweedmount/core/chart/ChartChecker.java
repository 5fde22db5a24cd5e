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
        Map<S, Map<E, S>> steps = new EnumMap<>(states);
        for (S state : states.getEnumConstants()) {
            steps.put(state, steps(state, file.states().get(state.name())));
        }
        S initial = constant(states, String.valueOf(file.initial()));
        checkReachable(initial, steps);
        return new StateChart<>(name, initial, steps);
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

    private Map<E, S> steps(S state, ChartFile.State part) throws ChartException {
        Map<E, S> next = new EnumMap<>(events);
        Set<E> open = EnumSet.allOf(events);
        for (Map.Entry<String, String> transition : part.transitions().entrySet()) {
            E event = settle(state, transition.getKey(), open);
            next.put(event, constant(states, transition.getValue()));
        }
        for (String ignored : part.ignored()) {
            next.put(settle(state, ignored, open), state);
        }
        for (String illegal : part.illegal()) {
            settle(state, illegal, open);
        }
        if (!open.isEmpty()) {
            throw new ChartException(name, "state " + state + " does not handle " + open);
        }
        return next;
    }

    private E settle(S state, String text, Set<E> open) throws ChartException {
        E event = constant(events, text);
        if (!open.remove(event)) {
            throw new ChartException(name, "state " + state + " handles " + event + " twice");
        }
        return event;
    }

    private void checkReachable(S initial, Map<S, Map<E, S>> steps) throws ChartException {
        Set<S> unreachable = EnumSet.allOf(states);
        Deque<S> pending = new ArrayDeque<>(List.of(initial));
        while (!pending.isEmpty()) {
            S state = pending.remove();
            if (unreachable.remove(state)) {
                pending.addAll(steps.get(state).values());
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
