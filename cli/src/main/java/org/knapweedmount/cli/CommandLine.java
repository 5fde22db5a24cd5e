package org.knapweedmount.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/** Parses a command line and runs its command. */
final class CommandLine {
    private static final String PROGRAM = "knapweedmount";

    private final PrintStream out;
    private final PrintStream err;

    CommandLine(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs a command line; errors are printed and not thrown. */
    ExitCode run(String... args) {
        List<String> arguments = Arrays.asList(args);
        if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
            printCommands(arguments.isEmpty() ? err : out);
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        Optional<Command> command = CommandRegistry.find(arguments);
        if (command.isEmpty()) {
            err.println(PROGRAM + ": unknown command; see " + PROGRAM + " --help");
            return ExitCode.USAGE;
        }
        int nameWords = command.get().name().split(" ", -1).length;
        return run(command.get(), arguments.subList(nameWords, arguments.size()));
    }

    private ExitCode run(Command command, List<String> arguments) {
        CommonOptions options = new CommonOptions();
        JCommander commander = JCommander.newBuilder()
                .addObject(command)
                .addObject(options)
                .programName(PROGRAM + " " + command.name())
                .build();
        try {
            commander.parse(arguments.toArray(String[]::new));
            if (options.help()) {
                printUsage(command, commander);
                return ExitCode.OK;
            }
            return command.run(new CommandContext(options, out, err));
        } catch (ParameterException e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (CliException e) {
            err.println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            if (options.json()) {
                out.println(errorJson(e));
            }
            return e.exitCode();
        }
    }

    private static String errorJson(CliException failure) {
        return JsonText.object()
                .put("error", failure.getMessage())
                .put("exitCode", failure.exitCode().code())
                .toString();
    }

    private void printUsage(Command command, JCommander commander) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        out.println(command.summary() + ".");
        out.print(text);
        printExitCodes(out);
    }

    private static void printCommands(PrintStream stream) {
        stream.println("Usage: " + PROGRAM + " COMMAND [OPTIONS]");
        stream.println();
        TextTable commands = new TextTable("command", "what it does");
        CommandRegistry.commands().forEach(command -> commands.row(command.name(), command.summary()));
        stream.print(commands);
        stream.println();
        stream.println("'" + PROGRAM + " COMMAND --help' lists the options of a command.");
        printExitCodes(stream);
    }

    private static void printExitCodes(PrintStream stream) {
        stream.println();
        TextTable codes = new TextTable("exit code", "meaning");
        for (ExitCode exitCode : ExitCode.values()) {
            codes.row(Integer.toString(exitCode.code()), exitCode.meaning());
        }
        stream.print(codes);
    }
}
