package org.knapweedmount.core.agent;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.core.config.ConfigState;

/** The slot policy of one service under the current configuration, with conservative defaults for missing objects. */
final class SlotPolicy {
    private static final double MIN_WEIGHT = 0.001;
    private static final double ROUNDING_TOLERANCE = 1e-9;
    private static final int DEFAULT_EXPECTED_MILLIS = 500;

    private final ConfigState config;
    private final String service;

    SlotPolicy(ConfigState config, String service) {
        this.config = config;
        this.service = service;
    }

    /** Returns the configuration of a kind; an unknown kind is long, not repeatable, and has weight 1. */
    KindConfig kind(String name) {
        return config.kind(name).orElseGet(() -> unknownKind(name));
    }

    private KindConfig unknownKind(String name) {
        return new KindConfig(name, service, false, false, 1, DEFAULT_EXPECTED_MILLIS, 0, Resources.NONE);
    }

    double kindWeight(String name) {
        return Math.max(MIN_WEIGHT, kind(name).weight());
    }

    /** Returns the weight of a flow, by which its costs are divided. */
    double weight(Flow flow) {
        double team = config.team(flow.team()).map(TeamConfig::weight).orElse(1.0);
        return kindWeight(flow.kind()) * Math.max(MIN_WEIGHT, team);
    }

    /** Returns the number of slots that tasks of long kinds may hold. */
    int longLimit(int slots) {
        double share =
                config.service(service).map(ServiceConfig::shortOnlyShare).orElse(0.0);
        int shortOnly = (int) Math.ceil(share * slots - ROUNDING_TOLERANCE);
        return slots - Math.max(0, Math.min(shortOnly, slots - 1));
    }

    /** Returns the number of slots that a team's tasks may hold. */
    int quota(String team, int slots) {
        double share = config.team(team).map(TeamConfig::quotaShare).orElse(1.0);
        return Math.max(1, (int) Math.floor(share * slots + ROUNDING_TOLERANCE));
    }
}
