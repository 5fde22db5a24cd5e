package org.knapweedmount.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.knapweedmount.api.ParseException;

/**
 * A probability distribution of task run times.
 *
 * <p>Examples of the text form are {@code fixed(50)}, {@code exponential(200)} and {@code
 * lognormal(150,0.8,0.02,4000)}; the last has a median of 150 ms, a sigma of 0.8, and 2% of the tasks run for 4 s.
 *
 * @param shape the shape of the distribution
 * @param parameters the parameters of the shape
 */
record RunTimeDistribution(RunTimeShape shape, List<Double> parameters) {
    private static final Pattern TEXT = Pattern.compile("([a-z]+)\\(([^()]*)\\)");
    private static final int MICROS_PER_MILLI = 1_000;

    RunTimeDistribution {
        parameters = List.copyOf(parameters);
    }

    static RunTimeDistribution parse(String text) throws ParseException {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new ParseException("'" + text + "' is not a distribution; expected for instance exponential(200)");
        }
        RunTimeShape shape = shape(matcher.group(1));
        List<Double> parameters = new ArrayList<>();
        for (String number : matcher.group(2).split(",", -1)) {
            parameters.add(parameter(number, text));
        }
        if (parameters.size() != shape.parameterCount()) {
            throw new ParseException("'" + text + "' has the wrong number of parameters, expected " + shape.syntax());
        }
        return new RunTimeDistribution(shape, parameters);
    }

    private static RunTimeShape shape(String name) throws ParseException {
        for (RunTimeShape shape : RunTimeShape.values()) {
            if (shape.name().toLowerCase(Locale.ROOT).equals(name)) {
                return shape;
            }
        }
        throw new ParseException("'" + name + "' is not a distribution; expected fixed, exponential or lognormal");
    }

    private static double parameter(String number, String text) throws ParseException {
        try {
            double parameter = Double.parseDouble(number);
            if (parameter >= 0 && Double.isFinite(parameter)) {
                return parameter;
            }
        } catch (NumberFormatException e) {
            throw new ParseException("'" + text + "' has a parameter that is not a number", e);
        }
        throw new ParseException("'" + text + "' has a parameter that is negative or not finite");
    }

    /** Draws a run time, in µs. */
    long sampleMicros(Random random) {
        return Math.round(shape.sampleMillis(random, parameters) * MICROS_PER_MILLI);
    }
}
