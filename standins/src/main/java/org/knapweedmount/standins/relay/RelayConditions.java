package org.knapweedmount.standins.relay;

import java.util.List;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * How a relay treats its connections.
 *
 * @param mode what it does with them
 * @param delayMicros how long each byte is under way, in µs, in each direction
 * @param duplicate true if what the opener of a new connection sends is also sent on a second connection, whose answers
 *     are dropped
 * @param cutOpeners names of processes or data centres; a connection whose first bytes state one of them as a whole word
 *     is reset, so that links are cut between some processes and not between others
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
     * Reads a change.
     *
     * @param change an object with any of {@code mode}, {@code delayMicros}, {@code duplicate} and {@code cutOpeners}
     * @return these conditions with the change
     * @throws ParseException if a field is out of range
     */
    RelayConditions withChange(JsonNode change) throws ParseException {
        int newDelayMicros = change.path("delayMicros").asInt(delayMicros);
        if (newDelayMicros < 0 || newDelayMicros > MAX_DELAY_MICROS) {
            throw new ParseException("'delayMicros' is not from 0 to " + MAX_DELAY_MICROS + " in " + change);
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
     * Tells whether a connection is to be reset.
     *
     * @param firstBytes the first bytes that its opener sent, one character for each
     * @return true if all connections are cut, or those of this opener
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
