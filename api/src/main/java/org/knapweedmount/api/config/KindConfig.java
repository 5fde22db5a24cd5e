package org.knapweedmount.api.config;

import org.knapweedmount.api.Resources;

/**
 * A kind of task.
 *
 * @param name the kind's name
 * @param service the service whose endpoints run it
 * @param repeatable true if a request of this kind may run again after a failure
 * @param shortTask true if its tasks may take the slots that long tasks may not
 * @param weight its share of the slots relative to the other kinds while all are busy, greater than 0
 * @param expectedMillis the run time assumed until it has been observed, in ms
 * @param maxWaitMillis the longest predicted wait in a queue at which a task is accepted, in ms
 * @param resources what a task needs of a worker unless the caller declares more
 */
public record KindConfig(
        String name,
        String service,
        boolean repeatable,
        boolean shortTask,
        double weight,
        int expectedMillis,
        int maxWaitMillis,
        Resources resources)
        implements ConfigObject {
    @Override
    public ConfigKey key() {
        return new ConfigKey(ConfigType.KIND, name);
    }
}
