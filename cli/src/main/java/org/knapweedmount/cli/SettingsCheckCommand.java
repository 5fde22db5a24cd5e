package org.knapweedmount.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.knapweedmount.daemon.settings.SettingsException;
import org.knapweedmount.daemon.settings.SettingsReader;

/** Validates a settings file of a daemon without starting the daemon. */
final class SettingsCheckCommand implements Command {
    @Parameter(description = "FILE")
    private List<Path> files = new ArrayList<>();

    @Override
    public String name() {
        return "settings check";
    }

    @Override
    public String summary() {
        return "Validate a settings file of the daemon";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        Path file = Operand.only(files, "FILE");
        try {
            SettingsReader.read(file);
        } catch (SettingsException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage(), e);
        }
        context.print(
                context.isJsonOutput()
                        ? JsonText.object()
                                .put("file", file.toString())
                                .put("good", true)
                                .toString()
                        : file + " is valid");
        return ExitCode.OK;
    }
}
