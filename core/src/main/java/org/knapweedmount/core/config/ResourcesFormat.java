package org.knapweedmount.core.config;

import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/** The JSON form of resources. */
public final class ResourcesFormat {
    private static final Set<String> FIELDS = Set.of("milliCores", "memoryMegabytes", "accelerators");

    private ResourcesFormat() {}

    /**
     * Reads resources; an amount that is missing is 0.
     *
     * @param fields the object that has them
     * @param name the field that holds them
     * @return the resources, {@link Resources#NONE} if the field is missing
     * @throws ParseException if a field is unknown or has a value that is not allowed
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
     * @param json receives the amounts
     */
    static void write(Resources resources, ObjectNode json) {
        json.put("milliCores", resources.milliCores());
        json.put("memoryMegabytes", resources.memoryMegabytes());
        json.put("accelerators", resources.accelerators());
    }
}
