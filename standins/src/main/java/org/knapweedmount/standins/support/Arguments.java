package org.knapweedmount.standins.support;

import java.io.PrintStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * The arguments of a stand-in's command line.
 *
 * <p>Each stand-in extends this class by its own options.
 */
public abstract class Arguments {
    /** The exit code after bad arguments. */
    public static final int USAGE_EXIT_CODE = 2;

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;

    /** What to do after the arguments were read. */
    public enum ParseResult {
        /** Start with the arguments. */
        VALID,
        /** End, since only the help text was wanted. */
        HELP_PRINTED,
        /** End with {@link #USAGE_EXIT_CODE}, since the arguments are bad. */
        INVALID
    }

    /**
     * Reads a command line and prints the help text or the error, if any.
     *
     * @param program the name shown in the help text
     * @param out where the help text and errors go
     * @param args the words of the command line
     * @return what to do next
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
     * Reads a command line, and ends the process if there is nothing to run.
     *
     * @param program the name shown in the help text
     * @param args the words of the command line
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
     * Checks the arguments that depend on one another.
     *
     * @throws ParameterException if they don't go together
     */
    protected void validate() {}
}
