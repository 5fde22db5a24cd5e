package org.knapweedmount.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the token that authenticates an operator at an entry. */
final class OperatorToken {
    private OperatorToken() {}

    /**
     * Reads the first token of a file; the token file of an entry has the same format.
     *
     * @param file a file with a token, or a name and a token, per line; blank lines and lines that start with # are
     *     ignored
     * @return the token
     * @throws CliException if the file cannot be read or does not contain a token
     */
    static String read(Path file) throws CliException {
        try {
            Optional<String> line = Files.readAllLines(file).stream()
                    .filter(candidate -> !candidate.isBlank() && !candidate.startsWith("#"))
                    .findFirst();
            if (line.isPresent()) {
                String[] words = line.get().strip().split("\\s+", -1);
                return words[words.length - 1];
            }
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + " cannot be read; see --token-file", e);
        }
        throw new CliException(ExitCode.USAGE, file + " does not contain a token; see --token-file");
    }
}
