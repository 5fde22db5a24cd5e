package org.knapweedmount.api.config;

import org.knapweedmount.api.Resources;

/**
 * A kind of task.
 *
 * @param name the kind's name
 * @param service the service whose endpoints run it
 * @param repeatable true if requests of this kind are idempotent and may be retried after a failure
 * @param shortTask true if its tasks may use the slots that are reserved for short tasks
 * @param weight its share of the slots relative to the other kinds while all are busy, greater than 0
 * @param expectedMillis the run time assumed before any has been measured, in ms
 * @param maxWaitMillis the longest predicted queue wait with which a task is still admitted, in ms
 * @param resources the resources that a task needs on a worker unless the caller declares more
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
