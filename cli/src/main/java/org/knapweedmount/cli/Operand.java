package org.knapweedmount.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Checks the operands of a command line, which are the arguments that are not options. */
final class Operand {
    private Operand() {}

    /**
     * Returns the only operand.
     *
     * @throws CliException if the number of operands is not one
     */
    static <T> T only(List<T> operands, String name) throws CliException {
        return exactly(operands, name).get(0);
    }

    /**
     * Checks the number of operands.
     *
     * @throws CliException if the numbers of operands and names differ
     */
    static <T> List<T> exactly(List<T> operands, String... names) throws CliException {
        if (operands.size() != names.length) {
            throw new CliException(
                    ExitCode.USAGE,
                    "expected " + String.join(" ", names) + ", found " + operands.size() + " operands; see --help");
        }
        return operands;
    }

    /** Encodes a text as a path segment of a URL. */
    static String pathSegment(String word) {
        return URLEncoder.encode(word, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
