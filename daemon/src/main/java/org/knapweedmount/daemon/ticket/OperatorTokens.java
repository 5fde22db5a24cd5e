package org.knapweedmount.daemon.ticket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.ParseException;

/** The tokens that are valid on the operators' port, each with a name for the audit trail. */
public final class OperatorTokens {
    private static final String DEFAULT_NAME = "operator";
    private static final int MIN_TOKEN_CHARACTERS = 16;
    private static final int MAX_WORDS_PER_LINE = 2;
    private static final String BEARER_PREFIX = "Bearer ";

    private final List<Token> tokens;

    /** A token as bytes for comparison in constant time. */
    private static final class Token {
        private final String name;
        private final byte[] text;

        Token(String name, String text) {
            this.name = name;
            this.text = text.getBytes(StandardCharsets.UTF_8);
        }
    }

    private OperatorTokens(List<Token> tokens) {
        this.tokens = List.copyOf(tokens);
    }

    /**
     * Reads the token file.
     *
     * @param file the file
     * @return the tokens
     * @throws ParseException if the file cannot be read, has no token or has an invalid line
     */
    public static OperatorTokens read(Path file) throws ParseException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new ParseException("the token file " + file + " cannot be read", e);
        }
    }

    /**
     * Parses the content of a token file.
     *
     * @param text a token of at least 16 characters on each line, optionally preceded by a name and white space; blank
     *     lines and lines that start with {@code #} are ignored
     * @return the tokens
     * @throws ParseException if there is no token or a line is invalid
     */
    static OperatorTokens parse(String text) throws ParseException {
        List<Token> tokens = new ArrayList<>();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            if (!line.isBlank() && !line.startsWith("#")) {
                tokens.add(token(line.strip().split("\\s+", -1), number));
            }
        }
        if (tokens.isEmpty()) {
            throw new ParseException("expected at least one token in the token file, found none");
        }
        return new OperatorTokens(tokens);
    }

    private static Token token(String[] words, int lineNumber) throws ParseException {
        String text = words[words.length - 1];
        if (words.length > MAX_WORDS_PER_LINE || text.length() < MIN_TOKEN_CHARACTERS) {
            throw new ParseException("token file, line " + lineNumber + ": expected a name and a token of at least "
                    + MIN_TOKEN_CHARACTERS + " characters, or the token alone");
        }
        String name = words.length == MAX_WORDS_PER_LINE ? words[0] : DEFAULT_NAME;
        return new Token(name, text);
    }

    /**
     * Finds the token that a request presents; the comparison time reveals only the lengths of the tokens.
     *
     * @param authorization the Authorization header of the request, null if it is missing
     * @return the token's name, empty if the request presents no valid token
     */
    public Optional<String> find(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        byte[] presented = authorization.substring(BEARER_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        Optional<String> found = Optional.empty();
        for (Token token : tokens) {
            if (MessageDigest.isEqual(token.text, presented)) {
                found = Optional.of(token.name);
            }
        }
        return found;
    }
}
