package org.knapweedmount.standins.load;

import java.util.OptionalDouble;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/**
 * One kind of request in the load.
 *
 * @param name the name in the report
 * @param service the service
 * @param kind the kind of its tasks
 * @param team the team that it is charged to
 * @param share its rate as a part of the rate of the whole load; the parts need not add up to 1
 * @param runTime how long its tasks run
 * @param jobTasks the number of tasks of a job, 1 for single requests
 * @param declaredSigma how far the declared times are off, as the sigma of a lognormal factor; empty if none is declared
 * @param fromSecond when the flow begins, in s after the start of the load
 * @param toSecond when it ends, in s after the start of the load
 * @param declared what each task declares that it needs of a worker
 * @param use what each task really takes of a worker
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
     * Reads a flow from the command line.
     *
     * @param text {@code NAME:SERVICE:KIND:TEAM:SHARE:DISTRIBUTION}
     * @param jobTasks the number of tasks of a job
     * @param declaredSigma how far the declared times are off
     * @return a flow that lasts as long as the load
     * @throws ParseException if the text has another form
     */
    static LoadFlow parse(String text, int jobTasks, OptionalDouble declaredSigma) throws ParseException {
        String[] fields = text.split(":", -1);
        if (fields.length != FIELD_COUNT) {
            throw new ParseException("'" + text + "' is not NAME:SERVICE:KIND:TEAM:SHARE:DISTRIBUTION");
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
            throw new ParseException("'" + text + "' has a share that is no number", e);
        }
        throw new ParseException("'" + text + "' has a share that is not above 0");
    }
}
