package org.knapweedmount.cli;

/** The main class of the command-line tool. */
public final class Main {
    private Main() {}

    /**
     * Runs a command and ends the process with its {@link ExitCode}.
     *
     * @param args the arguments of the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(System.out, System.err).run(args).code());
    }
}
