package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;

/**
 * Reads and writes the fields of messages about change tickets.
 *
 * <p>A configuration object is an array of its type, its name and its other fields; a removed object has no other
 * fields.
 */
final class ConfigMessages {
    private static final int KEY_FIELDS = 2;

    private ConfigMessages() {}

    static void writeUpdate(FieldWriter out, ConfigUpdate update) throws IOException, FrameException {
        out.list(update.tickets(), ConfigMessages::writeTicket);
    }

    static ConfigUpdate readUpdate(FieldReader in) throws IOException, FrameException {
        return new ConfigUpdate(in.list(ConfigMessages::readTicket));
    }

    static void writeApplied(FieldWriter out, ConfigApplied applied) throws IOException {
        out.number(applied.number());
    }

    static ConfigApplied readApplied(FieldReader in) throws IOException, FrameException {
        return new ConfigApplied(in.nonNegativeLong());
    }

    private static void writeTicket(FieldWriter out, Ticket ticket) throws IOException, FrameException {
        out.arrayHeader(3)
                .number(ticket.number())
                .text(ticket.author())
                .list(ticket.objects(), ConfigMessages::writeObject);
    }

    private static Ticket readTicket(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new Ticket(in.nonNegativeLong(), in.text(), in.list(ConfigMessages::readObject));
    }

    private static void writeObject(FieldWriter out, ConfigObject object) throws IOException, FrameException {
        if (object instanceof ServiceConfig service) {
            writeKey(out, service.key(), 3);
            out.name(service.defaultKind()).number(service.maxBodyBytes()).doubleNumber(service.shortOnlyShare());
        } else if (object instanceof KindConfig kind) {
            writeKey(out, kind.key(), 7);
            writeKindFields(out, kind);
        } else if (object instanceof TeamConfig team) {
            writeKey(out, team.key(), 2);
            out.doubleNumber(team.weight()).doubleNumber(team.quotaShare());
        } else if (object instanceof DrainConfig drain) {
            writeKey(out, drain.key(), 1);
            out.flag(true);
        } else {
            writeKey(out, object.key(), 0);
        }
    }

    private static void writeKey(FieldWriter out, ConfigKey key, int fields) throws IOException, FrameException {
        out.arrayHeader(KEY_FIELDS + fields)
                .constant(EnumFormat.CONFIG_TYPE, key.type())
                .text(key.name());
    }

    private static void writeKindFields(FieldWriter out, KindConfig kind) throws IOException, FrameException {
        out.name(kind.service())
                .flag(kind.repeatable())
                .flag(kind.shortTask())
                .doubleNumber(kind.weight())
                .number(kind.expectedMillis())
                .number(kind.maxWaitMillis())
                .value(kind.resources(), ValueFormats::writeResources);
    }

    private static ConfigObject readObject(FieldReader in) throws IOException, FrameException {
        int fields = in.arrayHeader() - KEY_FIELDS;
        ConfigType type = in.constant(EnumFormat.CONFIG_TYPE);
        String name = in.text();
        if (fields == 0) {
            return new RemovedConfig(new ConfigKey(type, name));
        }
        return switch (type) {
            case SERVICE -> readService(in, name, fields);
            case KIND -> readKind(in, name, fields);
            case TEAM -> readTeam(in, name, fields);
            case DRAIN -> readDrain(in, name, fields);
        };
    }

    private static ServiceConfig readService(FieldReader in, String name, int fields)
            throws IOException, FrameException {
        expectFields(3, fields);
        return new ServiceConfig(name, in.name(), in.nonNegativeInt(), in.finiteDouble());
    }

    private static KindConfig readKind(FieldReader in, String name, int fields) throws IOException, FrameException {
        expectFields(7, fields);
        return new KindConfig(
                name,
                in.name(),
                in.flag(),
                in.flag(),
                in.finiteDouble(),
                in.nonNegativeInt(),
                in.nonNegativeInt(),
                ValueFormats.readResources(in));
    }

    private static TeamConfig readTeam(FieldReader in, String name, int fields) throws IOException, FrameException {
        expectFields(2, fields);
        return new TeamConfig(name, in.finiteDouble(), in.finiteDouble());
    }

    private static DrainConfig readDrain(FieldReader in, String name, int fields) throws IOException, FrameException {
        expectFields(1, fields);
        in.flag();
        return new DrainConfig(name);
    }

    private static void expectFields(int expected, int actual) throws FrameException {
        if (actual != expected) {
            throw new FrameException(
                    "a configuration object has " + actual + " fields besides its key, expected " + expected);
        }
    }
}
