package org.knapweedmount.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the token that operators show to an entry. */
final class OperatorToken {
    private OperatorToken() {}

    /**
     * Reads the first token of a file, which may be the one that an entry reads.
     *
     * @param file lines of a token, or of a name and a token; empty lines and lines that start with # are left out
     * @return the token
     * @throws CliException if the file cannot be read or holds no token
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
        throw new CliException(ExitCode.USAGE, file + " holds no token; see --token-file");
    }
}
