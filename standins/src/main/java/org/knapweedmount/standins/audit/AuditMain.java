package org.knapweedmount.standins.audit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.standins.support.Arguments;
import org.tinylog.Logger;

/**
 * Main class of the overlap check, which reads the logs of entries and agents and prints each pair of runs of one task
 * that lived at the same time.
 *
 * <p>The exit code is 0 without overlap, 1 with a certain overlap, 3 if lines are missing and 4 if an overlap is only
 * possible.
 */
public final class AuditMain {
    private AuditMain() {}

    /**
     * Reads log files and prints the result.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        AuditOptions options = new AuditOptions();
        options.parseOrExit("check-overlaps", args);
        try {
            List<String> lines = new ArrayList<>();
            for (Path file : options.files()) {
                lines.addAll(Files.readAllLines(file));
            }
            AuditResult result = AuditResult.of(lines);
            System.out.print(result.describe());
            System.exit(result.verdict().exitCode());
        } catch (IOException e) {
            Logger.error("cannot read the log: {}", e.getMessage());
            System.exit(Arguments.USAGE_EXIT_CODE);
        }
    }
}
