package org.knapweedmount.daemon.settings;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonToken;

/** A value of a settings file with its line number. */
sealed interface SettingsValue {
    /** Returns the line in which the value starts, counted from 1. */
    int line();

    /** Returns a description of the value for error messages. */
    String describe();

    /** An object with its members in the order of the file. */
    record Members(int line, Map<String, SettingsValue> values) implements SettingsValue {
        @Override
        public String describe() {
            return "an object";
        }
    }

    /** An array. */
    record Items(int line, List<SettingsValue> values) implements SettingsValue {
        @Override
        public String describe() {
            return "a list";
        }
    }

    /** A string, number, boolean or null. */
    record Scalar(int line, JsonToken token, String text) implements SettingsValue {
        @Override
        public String describe() {
            return token == JsonToken.VALUE_STRING ? "\"" + text + "\"" : text;
        }
    }
}
