package org.knapweedmount.api.config;

/**
 * A team and its quota.
 *
 * @param name the team's name
 * @param weight its share of the slots relative to the other teams of a kind while all are busy, greater than 0
 * @param quotaShare the largest share of each endpoint's slots that its tasks may hold, greater than 0 and at most 1
 */
public record TeamConfig(String name, double weight, double quotaShare) implements ConfigObject {
    @Override
    public ConfigKey key() {
        return new ConfigKey(ConfigType.TEAM, name);
    }
}
