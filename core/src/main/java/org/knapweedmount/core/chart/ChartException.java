package org.knapweedmount.core.chart;

/** A state chart that cannot be read or is not complete. */
public final class ChartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param chart the chart's name
     * @param problem what is wrong with it
     */
    public ChartException(String chart, String problem) {
        super(chart + ": " + problem);
    }

    /**
     * Creates the error for a file that cannot be read.
     *
     * @param chart the chart's name
     * @param cause why it cannot be read
     */
    public ChartException(String chart, Exception cause) {
        super(chart + ": " + cause.getMessage(), cause);
    }
}
