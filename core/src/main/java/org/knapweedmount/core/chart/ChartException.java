package org.knapweedmount.core.chart;

/** Thrown when a state chart cannot be read or is invalid. */
public final class ChartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for an invalid chart.
     *
     * @param chart the chart's name
     * @param problem the problem found in the chart
     */
    public ChartException(String chart, String problem) {
        super(chart + ": " + problem);
    }

    /**
     * Creates an exception for a file that cannot be read.
     *
     * @param chart the chart's name
     * @param cause the error on reading the file
     */
    public ChartException(String chart, Exception cause) {
        super(chart + ": " + cause.getMessage(), cause);
    }
}
