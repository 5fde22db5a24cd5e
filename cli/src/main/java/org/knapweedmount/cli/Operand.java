package org.knapweedmount.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The words of a command line that are no options. */
final class Operand {
    private Operand() {}

    /**
     * Returns the only operand.
     *
     * @throws CliException if there are none or several
     */
    static <T> T only(List<T> operands, String name) throws CliException {
        return exactly(operands, name).get(0);
    }

    /**
     * Checks the number of operands.
     *
     * @throws CliException if there are more or fewer operands than names
     */
    static <T> List<T> exactly(List<T> operands, String... names) throws CliException {
        if (operands.size() != names.length) {
            throw new CliException(ExitCode.USAGE, "expected " + String.join(" ", names) + "; see --help");
        }
        return operands;
    }

    /** Encodes a word as one segment of a path. */
    static String pathSegment(String word) {
        return URLEncoder.encode(word, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
