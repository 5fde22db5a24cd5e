package org.knapweedmount.daemon.entry;

import java.io.IOException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.core.config.ConfigState;

/** Writes the shares of kinds and teams in the configuration in force, as JSON for operators. */
final class ShareWriter {
    private ShareWriter() {}

    static void write(JsonGenerator json, ConfigState config) throws IOException {
        json.writeArrayFieldStart("shares");
        for (ServiceConfig service : sorted(config.all(ServiceConfig.class), ServiceConfig::name)) {
            writeKinds(json, config.kindsOf(service.name()).values());
        }
        json.writeEndArray();
        json.writeArrayFieldStart("teams");
        for (TeamConfig team : sorted(config.all(TeamConfig.class), TeamConfig::name)) {
            json.writeStartObject();
            json.writeStringField("team", team.name());
            json.writeNumberField("weight", team.weight());
            json.writeNumberField("quotaShare", team.quotaShare());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeKinds(JsonGenerator json, Collection<KindConfig> kinds) throws IOException {
        double total = kinds.stream().mapToDouble(KindConfig::weight).sum();
        for (KindConfig kind : sorted(kinds, KindConfig::name)) {
            json.writeStartObject();
            json.writeStringField("service", kind.service());
            json.writeStringField("kind", kind.name());
            json.writeNumberField("weight", kind.weight());
            json.writeNumberField("share", kind.weight() / total);
            json.writeBooleanField("shortTask", kind.shortTask());
            json.writeEndObject();
        }
    }

    private static <T> List<T> sorted(Collection<T> items, Function<T, String> name) {
        return items.stream().sorted(Comparator.comparing(name)).toList();
    }
}
