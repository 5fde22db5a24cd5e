package org.knapweedmount.core.ticket;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.config.TicketWriter;

/**
 * The record of one accepted ticket in the audit trail.
 *
 * @param number the ticket's number
 * @param author the author named in the ticket
 * @param token the name of the token that authenticated the operator
 * @param entry the name of the entry that accepted the ticket
 * @param when the wall-clock time at that entry, in ISO 8601 format
 * @param changes the objects that the ticket changed
 */
public record AuditEntry(
        long number, String author, String token, String entry, String when, List<AuditChange> changes) {
    /** Copies the changes. */
    public AuditEntry {
        changes = List.copyOf(changes);
    }

    /**
     * Creates the record of a ticket that is being accepted.
     *
     * @param ticket the ticket
     * @param before the configuration before the ticket
     * @param token the name of the token that authenticated the operator
     * @param entry the name of the entry that accepts the ticket
     * @param when the wall-clock time, in ISO 8601 format
     * @return the record
     */
    public static AuditEntry of(Ticket ticket, ConfigState before, String token, String entry, String when) {
        ConfigState after = before.copy();
        after.apply(ticket);
        List<AuditChange> changes = new ArrayList<>();
        for (ConfigObject object : ticket.objects()) {
            ConfigKey key = object.key();
            changes.add(new AuditChange(key, before.object(key), after.object(key)));
        }
        return new AuditEntry(ticket.number(), ticket.author(), token, entry, when, changes);
    }

    /**
     * Returns this record as JSON.
     *
     * @return the record, in which the state of an object that does not exist is null
     */
    public ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("number", number);
        json.put("author", author);
        json.put("token", token);
        json.put("entry", entry);
        json.put("when", when);
        ArrayNode array = json.putArray("changes");
        for (AuditChange change : changes) {
            ObjectNode node = array.addObject();
            node.put("key", change.key().toString());
            node.set("before", change.before().map(TicketWriter::object).orElse(null));
            node.set("after", change.after().map(TicketWriter::object).orElse(null));
        }
        return json;
    }
}
