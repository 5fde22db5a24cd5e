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
 * The row that announces an entry.
 *
 * @param address the address on which the entry accepts links
 * @param heartbeatCount a number that the entry increments with each heartbeat
 */
public record EntryRow(PeerAddress address, long heartbeatCount) {
    /** The table that contains these rows. */
    public static final String TABLE = "entries";

    private static final int MAX_PORT = 65_535;

    /**
     * Parses a row.
     *
     * @param row the row
     * @return the content, empty if it cannot be parsed
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
                throw new ParseException("expected a host and a port from 1 to 65535 in the row of an entry");
            }
            PeerAddress address = new PeerAddress(incarnation, Role.ENTRY, region, dataCentre, host, port);
            return Optional.of(new EntryRow(address, value.path("beat").asLong()));
        } catch (ParseException e) {
            Logger.error(e, "cannot parse the row of entry {}", row.id().key());
            return Optional.empty();
        }
    }

    /**
     * Returns the ID of the row of an entry.
     *
     * @param incarnation the entry
     * @return the ID, which is the same for all incarnations of a process
     */
    public static RowId rowId(Incarnation incarnation) {
        return new RowId(TABLE, incarnation.process());
    }

    /**
     * Converts this row to JSON.
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
