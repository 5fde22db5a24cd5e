package org.knapweedmount.daemon.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.config.TicketReader;
import org.knapweedmount.core.config.TicketWriter;
import org.knapweedmount.core.ticket.AuditEntry;
import org.knapweedmount.daemon.store.Row;
import org.knapweedmount.daemon.store.RowId;
import org.knapweedmount.daemon.store.Transaction;
import org.tinylog.Logger;

/** Reads and writes the rows of tickets in the table service. */
public final class TicketRows {
    /** The table of accepted tickets. */
    public static final String TICKETS = "tickets";

    /** The table of the audit trail. */
    public static final String AUDIT = "audit";

    /** The table of the configuration objects in force. */
    public static final String OBJECTS = "objects";

    /** The row that contains the highest accepted ticket number. */
    public static final RowId HEAD = new RowId("head", "ticket");

    private static final String NUMBER = "number";

    /** Parses a row. */
    @FunctionalInterface
    private interface RowReader {
        Ticket read(Row row) throws ParseException;
    }

    private TicketRows() {}

    /**
     * Returns the key of a ticket's rows; keys are in the order of the ticket numbers.
     *
     * @param number the ticket's number, or 0 for a key before all tickets
     * @return the number, padded with zeros to 19 digits
     */
    public static String key(long number) {
        return String.format("%019d", number);
    }

    /**
     * Returns the ID of a ticket's row.
     *
     * @param number the ticket's number
     * @return the row ID
     */
    public static RowId ticket(long number) {
        return new RowId(TICKETS, key(number));
    }

    /**
     * Returns the ID of the row of an object in force.
     *
     * @param key the key of the object
     * @return the row ID
     */
    public static RowId object(ConfigKey key) {
        return new RowId(OBJECTS, key.toString());
    }

    /**
     * Creates the transaction that accepts a ticket.
     *
     * @param ticket the ticket
     * @param headVersion the version that the head row is required to have
     * @param audit the record in the audit trail
     * @return the transaction
     */
    public static Transaction acceptance(Ticket ticket, long headVersion, AuditEntry audit) {
        List<Transaction.Condition> conditions = List.of(
                new Transaction.Condition(HEAD, headVersion),
                new Transaction.Condition(ticket(ticket.number()), Transaction.ABSENT));
        List<Transaction.Write> writes = new ArrayList<>();
        writes.add(new Transaction.Write(
                HEAD, Optional.of(JsonNodeFactory.instance.objectNode().put(NUMBER, ticket.number()))));
        writes.add(new Transaction.Write(ticket(ticket.number()), Optional.of(TicketWriter.ticket(ticket))));
        for (ConfigObject object : ticket.objects()) {
            writes.add(new Transaction.Write(
                    object(object.key()), Optional.of(TicketWriter.objectInForce(ticket, object))));
        }
        writes.add(new Transaction.Write(new RowId(AUDIT, key(ticket.number())), Optional.of(audit.toJson())));
        return new Transaction(conditions, writes);
    }

    /**
     * Reads the highest accepted number.
     *
     * @param head the head row, empty if there is none
     * @return the number, 0 before the first ticket
     */
    public static long headNumber(Optional<Row> head) {
        return head.map(row -> row.value().path(NUMBER).asLong()).orElse(0L);
    }

    /**
     * Reads an accepted ticket.
     *
     * @param row the ticket's row
     * @return the ticket, empty if the row cannot be parsed
     */
    public static Optional<Ticket> ticket(Row row) {
        return read(row, present -> TicketReader.readTicket(present.value()));
    }

    /**
     * Reads an object in force.
     *
     * @param row the object's row
     * @return the part of its ticket that concerns the object, empty if the row cannot be parsed
     */
    public static Optional<Ticket> object(Row row) {
        return read(row, present -> TicketReader.readObjectInForce(present.value()));
    }

    private static Optional<Ticket> read(Row row, RowReader reader) {
        try {
            return Optional.of(reader.read(row));
        } catch (ParseException e) {
            Logger.error(e, "cannot parse row {}", row.id());
            return Optional.empty();
        }
    }
}
