package org.knapweedmount.cli;

import java.util.List;
import java.util.Optional;

/** The commands of the command-line tool. */
final class CommandRegistry {
    private static final int MAX_WORDS = 2;

    private CommandRegistry() {}

    /** Creates all commands in the order of the help text. */
    static List<Command> commands() {
        return List.of(
                new CallCommand(),
                new JobSubmitCommand(),
                new JobStatusCommand(),
                new JobCancelCommand(),
                new TicketApplyCommand(),
                new TicketShowCommand(),
                new TicketHistoryCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new AuditCommand(),
                new DrainCommand(),
                new SettingsCheckCommand());
    }

    /** Finds the command whose name is a prefix of a command line. */
    static Optional<Command> find(List<String> arguments) {
        for (int length = Math.min(MAX_WORDS, arguments.size()); length > 0; length--) {
            String name = String.join(" ", arguments.subList(0, length));
            Optional<Command> command = commands().stream()
                    .filter(candidate -> candidate.name().equals(name))
                    .findFirst();
            if (command.isPresent()) {
                return command;
            }
        }
        return Optional.empty();
    }
}
