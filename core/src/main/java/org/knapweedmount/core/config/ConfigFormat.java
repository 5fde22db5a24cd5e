package org.knapweedmount.core.config;

import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;

/** JSON formats of the objects in change tickets, one per object type. */
enum ConfigFormat {
    SERVICE(ConfigType.SERVICE) {
        @Override
        ConfigObject readFields(JsonFields fields) throws ParseException {
            fields.allowOnly(SERVICE_FIELDS);
            return new ServiceConfig(
                    fields.objectName("name"),
                    fields.objectName("defaultKind"),
                    (int) fields.wholeNumber("maxBodyBytes", 1, MAX_BODY_BYTES),
                    fields.number("shortOnlyShare", 0, 1));
        }

        @Override
        void writeFields(ConfigObject object, ObjectNode json) {
            ServiceConfig service = (ServiceConfig) object;
            json.put("defaultKind", service.defaultKind());
            json.put("maxBodyBytes", service.maxBodyBytes());
            json.put("shortOnlyShare", service.shortOnlyShare());
        }
    },
    KIND(ConfigType.KIND) {
        @Override
        ConfigObject readFields(JsonFields fields) throws ParseException {
            fields.allowOnly(KIND_FIELDS);
            return new KindConfig(
                    fields.objectName("name"),
                    fields.objectName("service"),
                    fields.flag("repeatable"),
                    fields.flag("shortTask"),
                    fields.number("weight", MIN_WEIGHT, MAX_WEIGHT),
                    (int) fields.wholeNumber("expectedMillis", 1, MAX_RUN_MILLIS),
                    (int) fields.wholeNumber("maxWaitMillis", 0, MAX_RUN_MILLIS),
                    ResourcesFormat.read(fields, "resources"));
        }

        @Override
        void writeFields(ConfigObject object, ObjectNode json) {
            KindConfig kind = (KindConfig) object;
            json.put("service", kind.service());
            json.put("repeatable", kind.repeatable());
            json.put("shortTask", kind.shortTask());
            json.put("weight", kind.weight());
            json.put("expectedMillis", kind.expectedMillis());
            json.put("maxWaitMillis", kind.maxWaitMillis());
            if (!kind.resources().equals(Resources.NONE)) {
                ResourcesFormat.write(kind.resources(), json.putObject("resources"));
            }
        }
    },
    TEAM(ConfigType.TEAM) {
        @Override
        ConfigObject readFields(JsonFields fields) throws ParseException {
            fields.allowOnly(TEAM_FIELDS);
            return new TeamConfig(
                    fields.objectName("name"),
                    fields.number("weight", MIN_WEIGHT, MAX_WEIGHT),
                    fields.number("quotaShare", MIN_SHARE, 1));
        }

        @Override
        void writeFields(ConfigObject object, ObjectNode json) {
            TeamConfig team = (TeamConfig) object;
            json.put("weight", team.weight());
            json.put("quotaShare", team.quotaShare());
        }
    },
    DRAIN(ConfigType.DRAIN) {
        @Override
        ConfigObject readFields(JsonFields fields) throws ParseException {
            fields.allowOnly(DRAIN_FIELDS);
            return new DrainConfig(readName(fields));
        }

        @Override
        void writeFields(ConfigObject object, ObjectNode json) {
            // a drain has no fields other than its type and name
        }

        @Override
        String readName(JsonFields fields) throws ParseException {
            String name = fields.text("name");
            boolean dataCentre = DATA_CENTRE.matcher(name).matches();
            if (!dataCentre && !Incarnation.isName(name)) {
                throw fields.invalidValue("name", "the name of an agent's process or data-centre:NAME");
            }
            return name;
        }
    };

    private static final int MAX_BODY_BYTES = 16_777_216;
    private static final int MAX_RUN_MILLIS = 86_400_000;
    private static final double MIN_WEIGHT = 0.001;
    private static final double MAX_WEIGHT = 1_000;
    private static final double MIN_SHARE = 0.001;
    private static final Pattern DATA_CENTRE = Pattern.compile("data-centre:[A-Za-z0-9._-]{1,64}");
    private static final Set<String> SERVICE_FIELDS =
            Set.of("type", "name", "defaultKind", "maxBodyBytes", "shortOnlyShare");
    private static final Set<String> KIND_FIELDS = Set.of(
            "type",
            "name",
            "service",
            "repeatable",
            "shortTask",
            "weight",
            "expectedMillis",
            "maxWaitMillis",
            "resources");
    private static final Set<String> TEAM_FIELDS = Set.of("type", "name", "weight", "quotaShare");
    private static final Set<String> DRAIN_FIELDS = Set.of("type", "name");
    private static final Set<String> REMOVED_FIELDS = Set.of("type", "name", "removed");

    private final ConfigType type;

    ConfigFormat(ConfigType type) {
        this.type = type;
    }

    /**
     * Reads an object of any type.
     *
     * @param fields the fields of the JSON object
     * @return the configuration object
     * @throws ParseException if a field is unknown, missing or has an invalid value
     */
    static ConfigObject read(JsonFields fields) throws ParseException {
        String type = fields.text("type");
        for (ConfigFormat format : values()) {
            if (format.type.text().equals(type)) {
                return format.readObject(fields);
            }
        }
        throw fields.invalidValue("type", "one of service, kind, team, drain");
    }

    private ConfigObject readObject(JsonFields fields) throws ParseException {
        if (fields.flag("removed", false)) {
            fields.allowOnly(REMOVED_FIELDS);
            return new RemovedConfig(new ConfigKey(type, readName(fields)));
        }
        if (fields.has("removed")) {
            throw fields.invalidValue("removed", "true, or no such field");
        }
        return readFields(fields);
    }

    /**
     * Writes an object of any type.
     *
     * @param object the object
     * @param json the JSON object to add the fields to
     */
    static void write(ConfigObject object, ObjectNode json) {
        ConfigKey key = object.key();
        json.put("type", key.type().text());
        json.put("name", key.name());
        if (object instanceof RemovedConfig) {
            json.put("removed", true);
            return;
        }
        valueOf(key.type().name()).writeFields(object, json);
    }

    abstract ConfigObject readFields(JsonFields fields) throws ParseException;

    abstract void writeFields(ConfigObject object, ObjectNode json);

    String readName(JsonFields fields) throws ParseException {
        return fields.objectName("name");
    }
}
