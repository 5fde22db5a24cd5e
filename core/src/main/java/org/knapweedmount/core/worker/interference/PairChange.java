package org.knapweedmount.core.worker.interference;

/**
 * A change of the pairs of kinds that are known to slow each other down.
 *
 * @param found true if the pair counts from now on, false if it does no more
 * @param kind the kind of the tasks that run longer
 * @param neighbour the kind of the tasks beside them
 * @param percent the estimated run time beside them, in percent of the run time without them
 */
public record PairChange(boolean found, String kind, String neighbour, int percent) {
    /**
     * Returns the name of the log event.
     *
     * @return the name
     */
    public String event() {
        return found ? "pair-found" : "pair-forgotten";
    }

    /**
     * Returns the detail of the log event.
     *
     * @return the pair and its estimate
     */
    public String detail() {
        return "kind=" + kind + " neighbour=" + neighbour + " percent=" + percent;
    }
}
