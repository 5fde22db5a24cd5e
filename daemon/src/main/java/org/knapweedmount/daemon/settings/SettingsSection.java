package org.knapweedmount.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonToken;

/** Reads the keys of one object of a settings file and records them, so that unknown keys can be rejected. */
final class SettingsSection {
    private final Path file;
    private final String prefix;
    private final SettingsValue.Members members;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    SettingsSection(Path file, String prefix, SettingsValue.Members members) {
        this.file = file;
        this.prefix = prefix;
        this.members = members;
    }

    SettingsSection section(String key) throws SettingsException {
        Optional<SettingsSection> section = optionalSection(key);
        if (section.isEmpty()) {
            throw missingKey(key, "an object");
        }
        return section.get();
    }

    Optional<SettingsSection> optionalSection(String key) throws SettingsException {
        Optional<SettingsValue> value = find(key);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        if (value.get() instanceof SettingsValue.Members found) {
            return Optional.of(new SettingsSection(file, prefix + key + ".", found));
        }
        throw invalidValue(key, value.get(), "an object");
    }

    <T> T text(String key, String allowed, Function<String, Optional<T>> parse) throws SettingsException {
        Optional<T> text = optionalText(key, allowed, parse);
        if (text.isEmpty()) {
            throw missingKey(key, allowed);
        }
        return text.get();
    }

    <T> Optional<T> optionalText(String key, String allowed, Function<String, Optional<T>> parse)
            throws SettingsException {
        Optional<SettingsValue> value = find(key);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(parseText(key, value.get(), allowed, parse));
    }

    <T> List<T> texts(String key, String allowed, Function<String, Optional<T>> parse) throws SettingsException {
        Optional<SettingsValue> value = find(key);
        if (value.isEmpty()) {
            return List.of();
        }
        if (!(value.get() instanceof SettingsValue.Items items)) {
            throw invalidValue(key, value.get(), "a list, each item " + allowed);
        }
        List<T> texts = new ArrayList<>();
        for (SettingsValue item : items.values()) {
            texts.add(parseText(key, item, allowed, parse));
        }
        return texts;
    }

    private <T> T parseText(String key, SettingsValue value, String allowed, Function<String, Optional<T>> parse)
            throws SettingsException {
        boolean isText = value instanceof SettingsValue.Scalar scalar && scalar.token() == JsonToken.VALUE_STRING;
        Optional<T> parsed = isText ? parse.apply(((SettingsValue.Scalar) value).text()) : Optional.empty();
        if (parsed.isEmpty()) {
            throw invalidValue(key, value, allowed);
        }
        return parsed.get();
    }

    int integer(String key, IntRange range) throws SettingsException {
        Optional<Integer> number = optionalInteger(key, range);
        if (number.isEmpty()) {
            throw missingKey(key, range.describe());
        }
        return number.get();
    }

    int integer(String key, IntRange range, int defaultValue) throws SettingsException {
        return optionalInteger(key, range).orElse(defaultValue);
    }

    Optional<Integer> optionalInteger(String key, IntRange range) throws SettingsException {
        Optional<SettingsValue> value = find(key);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        if (value.get() instanceof SettingsValue.Scalar scalar && scalar.token() == JsonToken.VALUE_NUMBER_INT) {
            Optional<Integer> number = inRange(scalar.text(), range);
            if (number.isPresent()) {
                return number;
            }
        }
        throw invalidValue(key, value.get(), range.describe());
    }

    private static Optional<Integer> inRange(String digits, IntRange range) {
        try {
            long number = Long.parseLong(digits);
            return range.contains(number) ? Optional.of((int) number) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    double fraction(String key, double defaultValue) throws SettingsException {
        Optional<SettingsValue> value = find(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (value.get() instanceof SettingsValue.Scalar scalar && scalar.token().isNumeric()) {
            double number = Double.parseDouble(scalar.text());
            if (number >= 0 && number <= 1) {
                return number;
            }
        }
        throw invalidValue(key, value.get(), "a number from 0 to 1");
    }

    void rejectKey(String key, String problem) throws SettingsException {
        Optional<SettingsValue> value = find(key);
        if (value.isPresent()) {
            throw SettingsException.at(file, value.get().line(), prefix + key, problem);
        }
    }

    void rejectUnknownKeys() throws SettingsException {
        for (String key : members.values().keySet()) {
            if (!knownKeys.contains(key)) {
                int line = members.values().get(key).line();
                throw SettingsException.at(file, line, prefix + key, "unknown key; allowed keys are " + knownKeys);
            }
        }
    }

    private Optional<SettingsValue> find(String key) {
        knownKeys.add(key);
        return Optional.ofNullable(members.values().get(key));
    }

    private SettingsException missingKey(String key, String allowed) {
        return SettingsException.at(file, members.line(), prefix + key, "missing; expected " + allowed);
    }

    private SettingsException invalidValue(String key, SettingsValue value, String allowed) {
        String problem = value.describe() + " is not allowed; expected " + allowed;
        return SettingsException.at(file, value.line(), prefix + key, problem);
    }
}
