package org.knapweedmount.standins.load;

import java.util.OptionalDouble;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/**
 * A flow of requests of the same kind in the load.
 *
 * @param name the name of the flow in the report
 * @param service the name of the service
 * @param kind the task kind
 * @param team the team that is charged for the requests
 * @param share the rate as a fraction of the rate of the load; the fractions need not add up to 1
 * @param runTime the distribution of the run times of the tasks
 * @param jobTasks the number of tasks in each job, 1 for single requests
 * @param declaredSigma the error of the declared run times, as a lognormal sigma; empty if none are declared
 * @param fromSecond the start of the flow, in s after the start of the load
 * @param toSecond the end of the flow, in s after the start of the load
 * @param declared the worker resources that each task declares
 * @param use the worker resources that each task uses
 */
record LoadFlow(
        String name,
        String service,
        String kind,
        String team,
        double share,
        RunTimeDistribution runTime,
        int jobTasks,
        OptionalDouble declaredSigma,
        double fromSecond,
        double toSecond,
        Resources declared,
        Resources use) {
    private static final int FIELD_COUNT = 6;

    /**
     * Parses a flow on the command line.
     *
     * @param text {@code NAME:SERVICE:KIND:TEAM:SHARE:DISTRIBUTION}
     * @param jobTasks the number of tasks in each job
     * @param declaredSigma the error of the declared run times
     * @return a flow that lasts for the whole load
     * @throws ParseException if the text is malformed
     */
    static LoadFlow parse(String text, int jobTasks, OptionalDouble declaredSigma) throws ParseException {
        String[] fields = text.split(":", -1);
        if (fields.length != FIELD_COUNT) {
            throw new ParseException("'" + text + "' does not have the form NAME:SERVICE:KIND:TEAM:SHARE:DISTRIBUTION");
        }
        return new LoadFlow(
                fields[0],
                fields[1],
                fields[2],
                fields[3],
                share(fields[4], text),
                RunTimeDistribution.parse(fields[5]),
                jobTasks,
                declaredSigma,
                0,
                Double.MAX_VALUE,
                Resources.NONE,
                Resources.NONE);
    }

    private static double share(String number, String text) throws ParseException {
        try {
            double share = Double.parseDouble(number);
            if (share > 0 && Double.isFinite(share)) {
                return share;
            }
        } catch (NumberFormatException e) {
            throw new ParseException("'" + text + "': the share must be a number", e);
        }
        throw new ParseException("'" + text + "': the share must be finite and greater than 0");
    }
}
