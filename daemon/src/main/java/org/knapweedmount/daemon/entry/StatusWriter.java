package org.knapweedmount.daemon.entry;

import java.io.IOException;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonGenerator;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Role;
import org.knapweedmount.core.entry.AgentStatus;
import org.knapweedmount.core.entry.EntryCounter;
import org.knapweedmount.core.entry.EntryStatus;
import org.knapweedmount.core.entry.QueueStatus;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.http.HttpCounter;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.JsonOutput;
import org.knapweedmount.daemon.store.TableCounter;

/** Writes the status of an entry as JSON for operators. */
final class StatusWriter {
    private static final int OK_STATUS = 200;

    private final Incarnation self;
    private final Readiness readiness;
    private final EntryCounters counters;

    StatusWriter(Incarnation self, Readiness readiness, EntryCounters counters) {
        this.self = self;
        this.readiness = readiness;
        this.counters = counters;
    }

    /** Writes a status; called on the decision thread, which owns the applied ticket numbers of the peers. */
    HttpResponse write(EntryStatus status, ConfigDistributor distributor) {
        return HttpResponse.of(OK_STATUS, HttpResponse.JSON, JsonOutput.object(json -> {
            json.writeStringField("incarnation", self.toString());
            json.writeStringField("role", Role.ENTRY.name().toLowerCase(Locale.ROOT));
            json.writeStringField("state", readiness.state().text());
            json.writeBooleanField("ready", readiness.notReadyReason().isEmpty());
            json.writeBooleanField("draining", readiness.draining());
            json.writeNumberField("configNumber", distributor.appliedNumber());
            json.writeArrayFieldStart("entries");
            for (Incarnation entry : status.entries()) {
                writeEntry(json, entry, distributor.peerAppliedNumber(entry));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("agents");
            for (AgentStatus agent : status.agents()) {
                writeAgent(json, agent, distributor.peerAppliedNumber(agent.agent()));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("queues");
            for (QueueStatus queue : status.queues()) {
                writeQueue(json, queue);
            }
            json.writeEndArray();
            ShareWriter.write(json, distributor.config());
            json.writeObjectFieldStart("counters");
            writeCounters(json);
            json.writeEndObject();
        }));
    }

    private static void writeEntry(JsonGenerator json, Incarnation entry, long configNumber) throws IOException {
        json.writeStartObject();
        json.writeStringField("incarnation", entry.toString());
        json.writeNumberField("configNumber", configNumber);
        json.writeEndObject();
    }

    private static void writeAgent(JsonGenerator json, AgentStatus agent, long configNumber) throws IOException {
        json.writeStartObject();
        json.writeStringField("incarnation", agent.agent().toString());
        json.writeStringField("dataCentre", agent.dataCentre());
        json.writeStringField("service", agent.service());
        json.writeNumberField("slots", agent.slots());
        json.writeNumberField("leases", agent.leases());
        json.writeBooleanField("open", agent.open());
        json.writeNumberField("configNumber", configNumber);
        json.writeEndObject();
    }

    private static void writeQueue(JsonGenerator json, QueueStatus queue) throws IOException {
        json.writeStartObject();
        json.writeStringField("service", queue.service());
        json.writeStringField("kind", queue.flow().kind());
        json.writeStringField("team", queue.flow().team());
        json.writeNumberField("queued", queue.queued());
        json.writeNumberField("oldestWaitMillis", queue.oldestWaitMillis());
        json.writeEndObject();
    }

    private void writeCounters(JsonGenerator json) throws IOException {
        writeCounters(json, "submissions.", EntryCounter.values(), counters.submissions());
        writeCounters(json, "http.", HttpCounter.values(), counters.http());
        writeCounters(json, "tables.", TableCounter.values(), counters.tables());
    }

    private static <E extends Enum<E>> void writeCounters(
            JsonGenerator json, String prefix, E[] names, Counters<E> values) throws IOException {
        for (E name : names) {
            json.writeNumberField(prefix + name.name().toLowerCase(Locale.ROOT), values.value(name));
        }
    }
}
