package org.knapweedmount.standins.support;

import java.io.PrintStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * The command-line arguments of a stand-in.
 *
 * <p>Each stand-in extends this class with its own options.
 */
public abstract class Arguments {
    /** The exit code for invalid arguments. */
    public static final int USAGE_EXIT_CODE = 2;

    @Parameter(names = "--help", help = true, description = "Print this help text")
    private boolean help;

    /** The result of parsing a command line. */
    public enum ParseResult {
        /** The arguments are valid; the program can start. */
        VALID,
        /** Only the help text was requested and has been printed; the program must exit. */
        HELP_PRINTED,
        /** The arguments are invalid; the program must exit with {@link #USAGE_EXIT_CODE}. */
        INVALID
    }

    /**
     * Parses a command line and prints the help text if requested, or the error if the arguments are invalid.
     *
     * @param program the program name shown in the help text and in errors
     * @param out the stream for the help text and errors
     * @param args the command-line arguments
     * @return the result
     */
    public final ParseResult parse(String program, PrintStream out, String... args) {
        JCommander commander =
                JCommander.newBuilder().addObject(this).programName(program).build();
        try {
            commander.parse(args);
            if (!help) {
                validate();
                return ParseResult.VALID;
            }
        } catch (ParameterException e) {
            out.println(program + ": " + e.getMessage());
            return ParseResult.INVALID;
        }
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        out.print(text);
        return ParseResult.HELP_PRINTED;
    }

    /**
     * Parses a command line, and exits the process after printing help or if the arguments are invalid.
     *
     * @param program the program name shown in the help text and in errors
     * @param args the command-line arguments
     */
    public final void parseOrExit(String program, String... args) {
        switch (parse(program, System.err, args)) {
            case HELP_PRINTED -> System.exit(0);
            case INVALID -> System.exit(USAGE_EXIT_CODE);
            default -> {
                return;
            }
        }
    }

    /**
     * Validates the arguments beyond their syntax.
     *
     * @throws ParameterException if an argument is missing, out of range or malformed
     */
    protected void validate() {}
}
