package org.knapweedmount.daemon.store;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.tinylog.Logger;

/**
 * The row by which an entry makes itself known.
 *
 * @param address where the entry listens for links
 * @param heartbeatCount a number that the entry raises from time to time
 */
public record EntryRow(PeerAddress address, long heartbeatCount) {
    /** The table of these rows. */
    public static final String TABLE = "entries";

    private static final int MAX_PORT = 65_535;

    /**
     * Reads a row.
     *
     * @param row the row
     * @return the content, empty if it cannot be read
     */
    public static Optional<EntryRow> parse(Row row) {
        JsonNode value = row.value();
        try {
            Incarnation incarnation =
                    Incarnation.parse(value.path("incarnation").asText());
            String region = value.path("region").asText(PeerAddress.DEFAULT_REGION);
            String dataCentre = value.path("dataCentre").asText();
            String host = value.path("host").asText();
            int port = value.path("port").asInt();
            if (host.isEmpty() || port < 1 || port > MAX_PORT) {
                throw new ParseException("an entry needs a host and a port");
            }
            PeerAddress address = new PeerAddress(incarnation, Role.ENTRY, region, dataCentre, host, port);
            return Optional.of(new EntryRow(address, value.path("beat").asLong()));
        } catch (ParseException e) {
            Logger.error(e, "unreadable row of entry {}", row.id().key());
            return Optional.empty();
        }
    }

    /**
     * Returns the name of the row of an entry.
     *
     * @param incarnation the entry
     * @return the name, which does not depend on the incarnation
     */
    public static RowId rowId(Incarnation incarnation) {
        return new RowId(TABLE, incarnation.process());
    }

    /**
     * Writes this row.
     *
     * @return the row's value
     */
    public JsonNode value() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("incarnation", address.incarnation().toString())
                .put("region", address.region())
                .put("dataCentre", address.dataCentre())
                .put("host", address.host())
                .put("port", address.port())
                .put("beat", heartbeatCount);
    }
}
