package org.knapweedmount.daemon.settings;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonToken;

/** A value of a settings file with the line that it starts in. */
sealed interface SettingsValue {
    /** Returns the line that the value starts in, from 1 up. */
    int line();

    /** Describes the value in an error message. */
    String describe();

    /** The members of an object, in the order of the file. */
    record Members(int line, Map<String, SettingsValue> values) implements SettingsValue {
        @Override
        public String describe() {
            return "an object";
        }
    }

    /** The items of an array. */
    record Items(int line, List<SettingsValue> values) implements SettingsValue {
        @Override
        public String describe() {
            return "a list";
        }
    }

    /** A text, number, truth value or null. */
    record Scalar(int line, JsonToken token, String text) implements SettingsValue {
        @Override
        public String describe() {
            return token == JsonToken.VALUE_STRING ? "\"" + text + "\"" : text;
        }
    }
}
