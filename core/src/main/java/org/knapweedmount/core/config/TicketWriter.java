package org.knapweedmount.core.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.Ticket;

/** Writes change tickets as JSON, for the table service and for operators. */
public final class TicketWriter {
    private TicketWriter() {}

    /**
     * Writes a ticket.
     *
     * @param ticket the ticket
     * @return the ticket with its number, author and objects
     */
    public static ObjectNode ticket(Ticket ticket) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("number", ticket.number());
        json.put("author", ticket.author());
        ArrayNode objects = json.putArray("objects");
        for (ConfigObject object : ticket.objects()) {
            ConfigFormat.write(object, objects.addObject());
        }
        return json;
    }

    /**
     * Writes one object.
     *
     * @param object the object
     * @return the object with its type and name
     */
    public static ObjectNode object(ConfigObject object) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ConfigFormat.write(object, json);
        return json;
    }

    /**
     * Writes one object with the number and author of its ticket, which identify the version of the object.
     *
     * @param ticket the ticket
     * @param object the object
     * @return the object with the ticket's number and author
     */
    public static ObjectNode objectInForce(Ticket ticket, ConfigObject object) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("number", ticket.number());
        json.put("author", ticket.author());
        json.set("object", object(object));
        return json;
    }
}
