package org.knapweedmount.standins.relay;

import java.util.Locale;

import org.knapweedmount.api.ParseException;

/** What a relay does with connections. */
enum RelayMode {
    /** Passes everything on. */
    PASS,
    /** Holds everything back, to pass it on late once the mode changes to pass. */
    STALL,
    /** Resets the connections that are open and those that are opened. */
    CUT;

    static RelayMode parse(String text) throws ParseException {
        for (RelayMode mode : values()) {
            if (mode.text().equals(text)) {
                return mode;
            }
        }
        throw new ParseException("'" + text + "' is no mode; expected pass, stall or cut");
    }

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
