package org.knapweedmount.standins.relay;

import java.util.List;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * The network conditions that a relay simulates for its connections.
 *
 * @param mode whether connections pass, stall or are reset
 * @param delayMicros the delay of each byte in each direction, in µs
 * @param duplicate true if the bytes that the client of a new connection sends are also sent on a second connection,
 *     whose responses are discarded
 * @param cutOpeners names of processes or data centres; a connection whose first bytes contain one of them as a whole
 *     word is reset, which simulates a network partition between some processes but not others
 */
record RelayConditions(RelayMode mode, int delayMicros, boolean duplicate, List<String> cutOpeners) {
    private static final int MAX_DELAY_MICROS = 60_000_000;
    private static final char FIRST_NON_ASCII = 128;

    RelayConditions {
        cutOpeners = List.copyOf(cutOpeners);
    }

    RelayConditions(RelayMode mode, int delayMicros, boolean duplicate) {
        this(mode, delayMicros, duplicate, List.of());
    }

    static RelayConditions passing(int delayMicros) {
        return new RelayConditions(RelayMode.PASS, delayMicros, false);
    }

    /**
     * Applies a change to these conditions.
     *
     * @param change an object with any of {@code mode}, {@code delayMicros}, {@code duplicate} and {@code cutOpeners}
     * @return a copy of these conditions with the change applied
     * @throws ParseException if a field is out of range
     */
    RelayConditions withChange(JsonNode change) throws ParseException {
        int newDelayMicros = change.path("delayMicros").asInt(delayMicros);
        if (newDelayMicros < 0 || newDelayMicros > MAX_DELAY_MICROS) {
            throw new ParseException("'delayMicros' must be from 0 to " + MAX_DELAY_MICROS + " in " + change);
        }
        return new RelayConditions(
                RelayMode.parse(change.path("mode").asText(mode.text())),
                newDelayMicros,
                change.path("duplicate").asBoolean(duplicate),
                change.has("cutOpeners") ? names(change.path("cutOpeners")) : cutOpeners);
    }

    private static List<String> names(JsonNode list) {
        return StreamSupport.stream(list.spliterator(), false)
                .map(JsonNode::asText)
                .filter(name -> !name.isEmpty())
                .toList();
    }

    /**
     * Returns whether a connection must be reset.
     *
     * @param firstBytes the first bytes that the client sent, decoded as ISO 8859-1
     * @return true if all connections are cut, or those of this client
     */
    boolean resetsConnection(String firstBytes) {
        return mode == RelayMode.CUT || cutOpeners.stream().anyMatch(name -> containsWord(firstBytes, name));
    }

    private static boolean containsWord(String text, String word) {
        for (int start = text.indexOf(word); start >= 0; start = text.indexOf(word, start + 1)) {
            if (!isNamePart(text, start - 1) && !isNamePart(text, start + word.length())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isNamePart(String text, int index) {
        if (index < 0 || index >= text.length()) {
            return false;
        }
        char character = text.charAt(index);
        return character == '-' || (character < FIRST_NON_ASCII && Character.isLetterOrDigit(character));
    }
}
