package org.knapweedmount.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.Ticket;

/**
 * Reads change tickets from JSON.
 *
 * <p>Each field is validated individually; {@link TicketRules} checks the consistency of the objects.
 */
public final class TicketReader {
    /** Maximum ticket number, which has 18 digits. */
    public static final long MAX_NUMBER = 999_999_999_999_999_999L;

    private static final int MAX_OBJECTS = 1_000;
    private static final int MAX_AUTHOR_LENGTH = 100;
    private static final Set<String> BODY_FIELDS = Set.of("author", "objects");
    private static final Set<String> TICKET_FIELDS = Set.of("number", "author", "objects");
    private static final Set<String> OBJECT_ROW_FIELDS = Set.of("number", "author", "object");

    private TicketReader() {}

    /**
     * Reads the body of a ticket as sent by an operator.
     *
     * @param number the ticket's number, which is not part of the document
     * @param json the document in UTF-8; Java-style comments are allowed
     * @return the ticket
     * @throws ParseException if the number is out of range, or a field is unknown, missing or has an invalid value
     */
    public static Ticket readBody(long number, byte[] json) throws ParseException {
        if (number < 1 || number > MAX_NUMBER) {
            throw new ParseException("ticket number " + number + " is out of range; expected 1 to " + MAX_NUMBER);
        }
        JsonFields fields = JsonFields.parse(json);
        fields.allowOnly(BODY_FIELDS);
        return new Ticket(number, author(fields), objects(fields));
    }

    /**
     * Reads a ticket as {@link TicketWriter#ticket} writes it.
     *
     * @param node the ticket as JSON
     * @return the ticket
     * @throws ParseException if a field is unknown, missing or has an invalid value
     */
    public static Ticket readTicket(JsonNode node) throws ParseException {
        JsonFields fields = JsonFields.of("", node);
        fields.allowOnly(TICKET_FIELDS);
        return new Ticket(number(fields), author(fields), objects(fields));
    }

    /**
     * Reads one current object as {@link TicketWriter#objectInForce} writes it.
     *
     * @param node the object with the number and author of its ticket
     * @return the ticket, reduced to this object
     * @throws ParseException if a field is unknown, missing or has an invalid value
     */
    public static Ticket readObjectInForce(JsonNode node) throws ParseException {
        JsonFields fields = JsonFields.of("", node);
        fields.allowOnly(OBJECT_ROW_FIELDS);
        JsonFields object = fields.object("object").orElseThrow(() -> fields.invalidValue("object", "an object"));
        return new Ticket(number(fields), author(fields), List.of(ConfigFormat.read(object)));
    }

    private static long number(JsonFields fields) throws ParseException {
        return fields.wholeNumber("number", 1, MAX_NUMBER);
    }

    private static String author(JsonFields fields) throws ParseException {
        String author = fields.text("author");
        boolean printable = author.codePoints().noneMatch(Character::isISOControl);
        if (author.isBlank() || author.length() > MAX_AUTHOR_LENGTH || !printable) {
            throw fields.invalidValue("author", "1 to " + MAX_AUTHOR_LENGTH + " characters without control characters");
        }
        return author;
    }

    private static List<ConfigObject> objects(JsonFields fields) throws ParseException {
        List<ConfigObject> objects = new ArrayList<>();
        Set<ConfigKey> keys = new HashSet<>();
        for (JsonFields object : fields.objects("objects", MAX_OBJECTS)) {
            ConfigObject read = ConfigFormat.read(object);
            if (!keys.add(read.key())) {
                throw object.invalidValue("name", "a name that is unique among the objects of its type in the ticket");
            }
            objects.add(read);
        }
        return objects;
    }
}
