package org.knapweedmount.cli;

/**
 * A command of the tool.
 *
 * <p>Its options are fields with JCommander's annotations.
 */
interface Command {
    /** Returns the words that call the command, for instance {@code ticket apply}. */
    String name();

    /** Returns what the command does, for the list of commands. */
    String summary();

    /**
     * Carries out the command.
     *
     * @param session the entry and where to print
     * @return how the process ends
     * @throws CliException if the command ends early
     */
    ExitCode run(CommandContext session) throws CliException;
}
