package org.knapweedmount.standins.relay;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** How a relay treats its connections. */
enum RelayMode {
    /** Forwards all bytes. */
    PASS,
    /** Holds all bytes back until the mode changes to pass, and then forwards them late. */
    STALL,
    /** Resets open connections and new ones. */
    CUT;

    static RelayMode parse(String text) throws ParseException {
        for (RelayMode mode : values()) {
            if (mode.text().equals(text)) {
                return mode;
            }
        }
        throw new ParseException("'" + text + "' is not a relay mode; expected pass, stall or cut");
    }

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
