package org.knapweedmount.daemon.ticket;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.JsonOutput;
import org.knapweedmount.daemon.store.ListResult;
import org.knapweedmount.daemon.store.Row;

/** Serializes the audit trail for operators. */
final class AuditWriter {
    private static final int OK = 200;

    private AuditWriter() {}

    /**
     * Serializes the audit trail from the table service and the entry's own events.
     *
     * @param trail the records of accepted tickets
     * @param events the entry's own events
     * @return the HTTP response, which states whether the trail could be read
     */
    static HttpResponse write(ListResult trail, List<AuditEvent> events) {
        return HttpResponse.of(OK, HttpResponse.JSON, JsonOutput.object(json -> {
            json.writeBooleanField("trailRead", trail.answered());
            writeRows(json, "trail", trail);
            json.writeArrayFieldStart("events");
            for (AuditEvent event : events) {
                write(json, event);
            }
            json.writeEndArray();
        }));
    }

    /**
     * Writes the values of rows as an array.
     *
     * @param json the generator, inside an object
     * @param field the name of the array field
     * @param list the rows
     * @throws IOException if a value cannot be written
     */
    static void writeRows(JsonGenerator json, String field, ListResult list) throws IOException {
        json.writeArrayFieldStart(field);
        for (Row row : list.rows()) {
            json.writeRawValue(row.value().toString());
        }
        json.writeEndArray();
    }

    private static void write(JsonGenerator json, AuditEvent event) throws IOException {
        json.writeStartObject();
        json.writeStringField("when", event.when());
        json.writeStringField("action", event.action().text());
        if (event.number() > 0) {
            json.writeNumberField("number", event.number());
        }
        json.writeStringField("who", event.who());
        json.writeStringField("detail", event.detail());
        json.writeEndObject();
    }
}
