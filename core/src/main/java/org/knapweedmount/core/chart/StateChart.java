package org.knapweedmount.core.chart;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.knapweedmount.core.metric.Invariants;

/**
 * The life of an object as a table of states and events, read from a file.
 *
 * <p>The code asks the chart for the next state, so that the file shows the whole life and cannot differ from what is
 * run. The table is built once; a step is two look-ups.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {
    private final String name;
    private final S initial;
    private final Map<S, Map<E, S>> steps;

    StateChart(String name, S initial, Map<S, Map<E, S>> steps) {
        this.name = name;
        this.initial = initial;
        this.steps = steps;
    }

    /**
     * Reads a chart from a resource file beside this class.
     *
     * @param file the file's name, for instance {@code lease.json}
     * @param states the enum that the file's states are named after
     * @param events the enum that the file's events are named after
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws ChartException if the file cannot be read, names something unknown, leaves an event of a state open, or
     *     has a state that cannot be reached
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String file, Class<S> states, Class<E> events) throws ChartException {
        try (InputStream input = StateChart.class.getResourceAsStream(file)) {
            if (input == null) {
                throw new ChartException(file, "no such resource");
            }
            return new ChartChecker<>(file, states, events).check(new ObjectMapper().readValue(input, ChartFile.class));
        } catch (IOException e) {
            throw new ChartException(file, e);
        }
    }

    /**
     * Reads a chart that is part of the program, from a resource file beside this class.
     *
     * @param file the file's name, for instance {@code lease.json}
     * @param states the enum that the file's states are named after
     * @param events the enum that the file's events are named after
     * @param <S> the states
     * @param <E> the events
     * @return the chart
     * @throws IllegalStateException if the file is not a complete chart
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> loadBundled(
            String file, Class<S> states, Class<E> events) {
        try {
            return load(file, states, events);
        } catch (ChartException e) {
            throw new IllegalStateException("a packaged state chart is broken", e);
        }
    }

    /**
     * Reads a chart from a text.
     *
     * @param name the chart's name in errors
     * @param json the text
     * @param states the enum that the states are named after
     * @param events the enum that the events are named after
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
     * Returns the first state.
     *
     * @return the state
     */
    public S initial() {
        return initial;
    }

    /**
     * Finds the next state.
     *
     * @param state the present state
     * @param event what happened
     * @param invariants is told of an event that is illegal in the state
     * @return the next state; the present one if the event is ignored or illegal
     */
    public S next(S state, E event, Invariants invariants) {
        S next = steps.get(state).get(event);
        if (next == null) {
            invariants.check(false, name + ": " + event + " is illegal in state " + state);
            return state;
        }
        return next;
    }
}
