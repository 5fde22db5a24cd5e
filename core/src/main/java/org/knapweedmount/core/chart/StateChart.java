package org.knapweedmount.core.chart;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.knapweedmount.core.metric.Invariants;

/**
 * A finite state machine whose transition table is read from a file.
 *
 * <p>The code takes every transition from the chart, so the file is complete and cannot diverge from the behaviour. The
 * table is built once; a transition takes two look-ups.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final S initial;
    private final Map<S, Map<E, S>> transitions;

    StateChart(String name, S initial, Map<S, Map<E, S>> transitions) {
        this.name = name;
        this.initial = initial;
        this.transitions = transitions;
    }

    /**
     * Loads a chart from a resource file in the package of this class.
     *
     * @param file the file name, for instance {@code lease.json}
     * @param states the enum that defines the names of the states
     * @param events the enum that defines the names of the events
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws ChartException if the file cannot be read, contains an unknown name, does not handle an event in some
     *     state, or has an unreachable state
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String file, Class<S> states, Class<E> events) throws ChartException {
        try (InputStream input = StateChart.class.getResourceAsStream(file)) {
            if (input == null) {
                throw new ChartException(file, "resource not found");
            }
            return new ChartChecker<>(file, states, events).check(new ObjectMapper().readValue(input, ChartFile.class));
        } catch (IOException e) {
            throw new ChartException(file, e);
        }
    }

    /**
     * Loads a chart that is bundled with the program from a resource file in the package of this class.
     *
     * @param file the file name, for instance {@code lease.json}
     * @param states the enum that defines the names of the states
     * @param events the enum that defines the names of the events
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws IllegalStateException if the file is not a valid chart
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> loadBundled(
            String file, Class<S> states, Class<E> events) {
        try {
            return load(file, states, events);
        } catch (ChartException e) {
            throw new IllegalStateException("bundled state chart is invalid", e);
        }
    }

    /**
     * Parses a chart from a JSON document.
     *
     * @param name the chart's name for error messages
     * @param json the document
     * @param states the enum that defines the names of the states
     * @param events the enum that defines the names of the events
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws ChartException as for {@link #load}
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, String json, Class<S> states, Class<E> events) throws ChartException {
        try {
            return new ChartChecker<>(name, states, events).check(new ObjectMapper().readValue(json, ChartFile.class));
        } catch (IOException e) {
            throw new ChartException(name, e);
        }
    }

    /**
     * Returns the initial state.
     *
     * @return the state
     */
    public S initial() {
        return initial;
    }

    /**
     * Returns the state that follows an event.
     *
     * @param state the current state
     * @param event the event
     * @param invariants receives a violation if the event is illegal in the current state
     * @return the next state, equal to the current one if the event is ignored or illegal
     */
    public S next(S state, E event, Invariants invariants) {
        S next = transitions.get(state).get(event);
        if (next == null) {
            invariants.check(false, name + ": " + event + " is illegal in state " + state);
            return state;
        }
        return next;
    }
}
