package org.knapweedmount.daemon.settings;

import java.nio.file.Path;

/** Thrown if a settings file is invalid; the message names the file, the line, the key and the allowed values. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private SettingsException(String message, Throwable cause) {
        super(message, cause);
    }

    static SettingsException at(Path file, int line, String key, String problem) {
        String where = key.isEmpty() ? "" : key + ": ";
        return new SettingsException(file + ":" + line + ": " + where + problem, null);
    }

    static SettingsException unreadable(Path file, Throwable cause) {
        return new SettingsException(file + ": cannot read the settings file: " + cause, cause);
    }

    /**
     * Creates an exception without a cause.
     *
     * @param message which setting is invalid, and why
     */
    public SettingsException(String message) {
        super(message);
    }
}
