package org.knapweedmount.cli;

/**
 * A command of the command-line tool.
 *
 * <p>The options of a command are fields with JCommander annotations.
 */
interface Command {
    /** Returns the name of the command, one or two words such as {@code ticket apply}. */
    String name();

    /** Returns a one-line description for the list of commands. */
    String summary();

    /**
     * Runs the command.
     *
     * @param context the API clients and the output streams
     * @return the exit code of the process
     * @throws CliException if the command ends early with an error
     */
    ExitCode run(CommandContext context) throws CliException;
}
