package org.knapweedmount.daemon.agent;

import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.core.agent.EndpointAnnouncement;
import org.knapweedmount.core.config.JsonFields;
import org.knapweedmount.core.config.ResourcesFormat;
import org.knapweedmount.daemon.settings.HostPort;

/** Parses the announcements and usage reports of endpoints and workers. */
final class AnnouncementReader {
    private static final Set<String> ANNOUNCEMENT_FIELDS =
            Set.of("service", "host", "port", "slots", "connections", "ttlMillis", "resources");
    private static final Set<String> USAGE_FIELDS = Set.of("kind", "resources");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 10_000;
    private static final int MIN_TTL_MILLIS = 10;
    private static final int MAX_TTL_MILLIS = 3_600_000;

    private AnnouncementReader() {}

    static EndpointAnnouncement announcement(String id, Buffer body) throws ParseException {
        JsonFields fields = JsonFields.parse(body.getBytes());
        fields.allowOnly(ANNOUNCEMENT_FIELDS);
        String host = fields.text("host");
        if (!HostPort.isIpAddress(host)) {
            throw fields.invalidValue("host", "an IP address");
        }
        return new EndpointAnnouncement(
                id,
                fields.objectName("service"),
                host,
                (int) fields.wholeNumber("port", 1L, MAX_PORT),
                (int) fields.wholeNumber("slots", 1L, MAX_SLOTS),
                (int) fields.wholeNumber("connections", 1L, MAX_SLOTS),
                (int) fields.wholeNumber("ttlMillis", MIN_TTL_MILLIS, (long) MAX_TTL_MILLIS),
                ResourcesFormat.read(fields, "resources"));
    }

    static UsageReport usage(String id, Buffer body) throws ParseException {
        JsonFields fields = JsonFields.parse(body.getBytes());
        fields.allowOnly(USAGE_FIELDS);
        return new UsageReport(id, fields.objectName("kind"), ResourcesFormat.read(fields, "resources"));
    }
}
