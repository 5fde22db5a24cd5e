package org.knapweedmount.core.config;

import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/** JSON format of resources. */
public final class ResourcesFormat {
    private static final Set<String> FIELDS = Set.of("milliCores", "memoryMegabytes", "accelerators");

    private ResourcesFormat() {}

    /**
     * Reads resources; a missing amount defaults to 0.
     *
     * @param fields the enclosing object
     * @param name the field that contains the resources
     * @return the resources, {@link Resources#NONE} if the field is missing
     * @throws ParseException if a field is unknown or has an invalid value
     */
    public static Resources read(JsonFields fields, String name) throws ParseException {
        if (!fields.has(name)) {
            return Resources.NONE;
        }
        JsonFields amounts = fields.object(name).orElseThrow();
        amounts.allowOnly(FIELDS);
        return new Resources(
                amounts.wholeNumber("milliCores", 0, Integer.MAX_VALUE, 0),
                amounts.wholeNumber("memoryMegabytes", 0, Integer.MAX_VALUE, 0),
                amounts.wholeNumber("accelerators", 0, Integer.MAX_VALUE, 0));
    }

    /**
     * Writes resources.
     *
     * @param resources the resources
     * @param json the JSON object to add the amounts to
     */
    static void write(Resources resources, ObjectNode json) {
        json.put("milliCores", resources.milliCores());
        json.put("memoryMegabytes", resources.memoryMegabytes());
        json.put("accelerators", resources.accelerators());
    }
}
