package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.util.concurrent.ExecutionException;

import org.tinylog.Logger;

/** Main class of the fault soak. */
public final class SoakMain {
    private static final int VIOLATIONS_EXIT_CODE = 1;
    private static final int FAILED_EXIT_CODE = 3;

    private SoakMain() {}

    /**
     * Runs one soak; exits with 1 if a rule was broken, with 3 if the soak could not be run to its end.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        SoakOptions options = new SoakOptions();
        options.parseOrExit("soak", args);
        try {
            SoakRun.Result result = new SoakRun(options).run();
            System.out.printf("seed %d: %s%n", options.seed(), result.summary());
            result.violations()
                    .forEach(violation -> System.out.printf(
                            "violation %s at %d ms: %s%n", violation.rule(), violation.millis(), violation.detail()));
            System.out.printf(
                    "seed %d: %d violations, logs in %s%n",
                    options.seed(), result.violations().size(), result.directory());
            System.exit(result.violations().isEmpty() ? 0 : VIOLATIONS_EXIT_CODE);
        } catch (IOException | ExecutionException | InterruptedException e) {
            Logger.error(e, "the soak failed");
            System.exit(FAILED_EXIT_CODE);
        }
    }
}
