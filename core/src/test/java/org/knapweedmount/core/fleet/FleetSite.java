package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;

/**
 * The size and the configuration of a simulated fleet.
 *
 * @param regions the number of regions, over which entries and agents are spread evenly
 * @param entries the number of entries in all regions
 * @param agents the number of agents in all regions, each with one executor
 * @param slots the number of slots of each executor
 * @param duplicateShare the fraction of messages that are delivered twice
 * @param ticket the ticket that contains the configuration
 */
record FleetSite(int regions, int entries, int agents, int slots, double duplicateShare, Ticket ticket) {
    /** A small site with some duplicated messages. */
    static final FleetSite SMALL = new FleetSite(
            1,
            3,
            5,
            4,
            0.02,
            ticket(
                    kind(FakeFleet.REPEATABLE, true, 1, 80, 3_000),
                    kind(FakeFleet.ONCE, false, 1, 80, 3_000),
                    new TeamConfig(FakeFleet.TEAM, 1, 1)));

    /** A site of 88 slots with two kinds: short, urgent balance checks and long settlements. */
    static final FleetSite DUES = new FleetSite(
            1,
            3,
            11,
            8,
            0,
            ticket(
                    kind(FakeFleet.REPEATABLE, true, 4, 80, 2_000),
                    kind(FakeFleet.ONCE, false, 1, 900, 60_000),
                    new TeamConfig("kiosks", 4, 1),
                    new TeamConfig("settlements", 1, 0.75)));

    /** A site of 88 slots, loaded with one kind of lookups. */
    static final FleetSite LOOKUPS = new FleetSite(
            1,
            3,
            11,
            8,
            0,
            ticket(
                    kind(FakeFleet.REPEATABLE, true, 1, 330, 60_000),
                    kind(FakeFleet.ONCE, false, 1, 330, 60_000),
                    new TeamConfig(FakeFleet.TEAM, 1, 1)));

    /** Returns a site that repeats this one in each of several regions. */
    FleetSite inRegions(int count) {
        return new FleetSite(count, count * entries, count * agents, slots, duplicateShare, ticket);
    }

    /** Returns a site of another size without duplicated messages. */
    FleetSite sized(int regionCount, int entryCount, int agentCount) {
        return new FleetSite(regionCount, entryCount, agentCount, slots, 0, ticket);
    }

    private static final double SHORT_ONLY_SHARE = 0.25;

    private static Ticket ticket(KindConfig shortKind, KindConfig longKind, TeamConfig... teams) {
        ServiceConfig service = new ServiceConfig(FakeFleet.SERVICE, FakeFleet.REPEATABLE, 100_000, SHORT_ONLY_SHARE);
        List<ConfigObject> objects = new ArrayList<>();
        objects.add(service);
        objects.add(shortKind);
        objects.add(longKind);
        objects.addAll(List.of(teams));
        return new Ticket(1, "test", objects);
    }

    private static KindConfig kind(String name, boolean shortTask, double weight, int expectedMillis, int waitMillis) {
        return new KindConfig(
                name, FakeFleet.SERVICE, shortTask, shortTask, weight, expectedMillis, waitMillis, Resources.NONE);
    }
}
