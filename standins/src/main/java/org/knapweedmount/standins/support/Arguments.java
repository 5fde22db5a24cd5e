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
    public enum Next {
        /** Start with the arguments. */
        RUN,
        /** End, since only the help text was wanted. */
        STOP,
        /** End with {@link #USAGE_EXIT_CODE}, since the arguments are bad. */
        REFUSE
    }

    /**
     * Reads a command line and prints the help text or the error, if any.
     *
     * @param program the name shown in the help text
     * @param out where the help text and errors go
     * @param args the words of the command line
     * @return what to do next
     */
    public final Next read(String program, PrintStream out, String... args) {
        JCommander commander =
                JCommander.newBuilder().addObject(this).programName(program).build();
        try {
            commander.parse(args);
            if (!help) {
                check();
                return Next.RUN;
            }
        } catch (ParameterException e) {
            out.println(program + ": " + e.getMessage());
            return Next.REFUSE;
        }
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        out.print(text);
        return Next.STOP;
    }

    /**
     * Reads a command line, and ends the process if there is nothing to run.
     *
     * @param program the name shown in the help text
     * @param args the words of the command line
     */
    public final void readOrExit(String program, String... args) {
        switch (read(program, System.err, args)) {
            case STOP -> System.exit(0);
            case REFUSE -> System.exit(USAGE_EXIT_CODE);
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
    protected void check() {}
}
