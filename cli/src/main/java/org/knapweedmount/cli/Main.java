package org.knapweedmount.cli;

/** The command-line tool for operators and callers. */
public final class Main {
    private Main() {}

    /**
     * Runs one command and ends the process with an {@link ExitCode}.
     *
     * @param args the words of the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(System.out, System.err).run(args).code());
    }
}
