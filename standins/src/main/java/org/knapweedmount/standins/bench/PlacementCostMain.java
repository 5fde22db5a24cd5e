package org.knapweedmount.standins.bench;

import java.util.Locale;

/**
 * Measures the processor time of the choice of a worker for a run, and how it grows with the number of workers.
 *
 * <p>The time of a job of one task is subtracted from that of a job of many, so that only what is done for each task is left:
 * the choice, the order and its record.
 */
public final class PlacementCostMain {
    private static final int[] WORKERS = {11, 60, 400, 4_000};

    private PlacementCostMain() {}

    /**
     * Prints a line for each number of workers.
     *
     * @param args the command-line arguments, of which there are none
     */
    public static void main(String[] args) {
        System.out.println("workers | ns per decision: alike, speeds differ, a pair counts, data on one rack of eight");
        for (PlacementCase each : PlacementCase.values()) {
            new PlacementModel(WORKERS[0], each).nanosPerDecision(); // compiles the code
        }
        for (int workers : WORKERS) {
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%7d |", workers));
            for (PlacementCase each : PlacementCase.values()) {
                line.append(String.format(Locale.ROOT, " %9.0f", new PlacementModel(workers, each).nanosPerDecision()));
            }
            System.out.println(line);
        }
    }
}
