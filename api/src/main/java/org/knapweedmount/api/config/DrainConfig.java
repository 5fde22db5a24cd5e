package org.knapweedmount.api.config;

/**
 * The drain of an agent or a data centre, which then accepts no new work.
 *
 * @param name the name of an agent's process, or {@code data-centre:NAME}
 */
public record DrainConfig(String name) implements ConfigObject {
    /** The prefix of a name that refers to a data centre. */
    public static final String DATA_CENTRE_PREFIX = "data-centre:";

    /**
     * Returns whether this drain applies to an agent.
     *
     * @param process the name of the agent's process
     * @param dataCentre the name of the data centre that it runs in
     * @return true if the agent accepts no new work
     */
    public boolean covers(String process, String dataCentre) {
        return name.equals(process) || name.equals(DATA_CENTRE_PREFIX + dataCentre);
    }

    @Override
    public ConfigKey key() {
        return new ConfigKey(ConfigType.DRAIN, name);
    }
}
