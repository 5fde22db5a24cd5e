package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Start;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUPS;
import static org.knapweedmount.core.entry.EntryFixture.RESERVATIONS;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.SERVICE;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.job;

class DemandTest {
    private static final Demand NONE = new Demand(SERVICE, List.of());

    private final EntryFixture entry = new EntryFixture();
    private final List<Incarnation> agents = new ArrayList<>();

    private void agents(int count) {
        for (int i = 0; i < count; i++) {
            agents.add(entry.agent("agent-" + i, 8));
        }
    }

    private static Demand demand(int queued, long waitedMicros) {
        return new Demand(SERVICE, List.of(new FlowDemand(LOOKUPS, queued, waitedMicros)));
    }

    private List<Demand> demands(Incarnation agent) {
        return entry.output.to(agent, Demand.class);
    }

    private List<Incarnation> askedAgents() {
        return agents.stream().filter(agent -> !demands(agent).isEmpty()).toList();
    }

    /** Lets an agent report other idle slots, and uses the lease that carries the report. */
    private void reportIdleSlots(Incarnation agent, int otherIdleSlots) {
        entry.submit(job(LOOKUP, "hint"));
        entry.grant(agent, 1, LeaseScope.ANY, Optional.empty(), otherIdleSlots);
        entry.finish(agent, entry.lastStart(), complete(""));
        entry.advance(100);
        entry.output.sent.clear();
    }

    @Test
    void withoutReportedIdleSlotsMoreAgentsAreAskedUntilOneGrants() {
        agents(20);

        entry.submit(job(LOOKUP, "a"));
        assertThat(askedAgents(), hasSize(2));
        entry.advance(9);
        assertThat(askedAgents(), hasSize(2));

        for (int expected : new int[] {4, 8, 12, 16, 20}) {
            entry.advance(10);
            assertThat(askedAgents(), hasSize(expected));
        }
    }

    @Test
    void agentWithMostOtherIdleSlotsIsAskedAlone() {
        agents(3);
        reportIdleSlots(agents.get(0), 1);
        reportIdleSlots(agents.get(2), 3);

        entry.submit(job(LOOKUP, "a"));

        assertThat(demands(agents.get(2)), contains(demand(1, 0)));
        assertThat(askedAgents(), hasSize(1));
    }

    @Test
    void otherAgentsAreAskedWhenTheFirstDoesNotGrant() {
        agents(2);
        reportIdleSlots(agents.get(1), 3);
        entry.submit(job(LOOKUP, "a"));

        entry.advance(10);

        assertThat(demands(agents.get(0)), contains(demand(1, 10_000)));
    }

    @Test
    void longQueueIsDividedAmongAllAgents() {
        agents(5);

        entry.submit(job(LOOKUP, "1", "2", "3", "4", "5", "6", "7", "8", "9", "10"));

        agents.forEach(agent -> assertThat(demands(agent), contains(demand(4, 0))));
    }

    @Test
    void demandIsResentOnlyWhenTheQueueHasGrownFourfold() {
        agents(1);
        entry.submit(job(LOOKUP, "1", "2"));
        entry.advance(10);

        entry.submit(job(LOOKUP, "3", "4", "5", "6", "7"));
        assertThat(demands(agents.get(0)), contains(demand(2, 0)));
        entry.submit(job(LOOKUP, "8"));

        assertThat(demands(agents.get(0)), contains(demand(2, 0), demand(8, 10_000)));
    }

    @Test
    void startCarriesTheNumberOfLeasesStillRequested() {
        agents(2);
        entry.submit(job(LOOKUP, "1", "2", "3"));

        entry.grant(agents.get(0), 2);

        // Two leases are requested for each task, three of them from the other agent.
        assertThat(entry.starts().stream().map(Start::queued).toList(), contains(1, 1));
    }

    @Test
    void demandIsWithdrawnWhenTheQueueStaysEmpty() {
        agents(2);
        entry.submit(job(LOOKUP, "1"));
        entry.grant(agents.get(0), 1);
        entry.advance(1);
        assertThat(demands(agents.get(1)), hasSize(1));

        entry.advance(10);

        assertThat(demands(agents.get(1)), contains(demand(1, 0), NONE));
        // The start message has already withdrawn the demand from the first agent.
        assertThat(demands(agents.get(0)), hasSize(1));
    }

    @Test
    void demandIsWithdrawnFromAnAgentThatGrantsAnUnusedLease() {
        agents(2);
        entry.submit(job(LOOKUP, "1"));
        entry.grant(agents.get(0), 1);
        entry.now += 6_000_000;

        entry.grant(agents.get(1), 1, LeaseScope.ANY, Optional.of(LOOKUPS), 0);

        assertThat(demands(agents.get(1)), contains(demand(1, 0), NONE));
    }

    @Test
    void demandsToOneAgentAreRateLimited() {
        agents(1);
        entry.submit(job(LOOKUP, "1"));

        entry.submit(job(RESERVE, "2"));
        assertThat(demands(agents.get(0)), contains(demand(1, 0)));
        entry.advance(6);

        List<FlowDemand> both = List.of(new FlowDemand(LOOKUPS, 1, 6_000), new FlowDemand(RESERVATIONS, 1, 6_000));
        assertThat(demands(agents.get(0)), contains(demand(1, 0), new Demand(SERVICE, both)));
    }

    @Test
    void demandOfALeavingAgentMovesToOthers() {
        agents(4);
        entry.submit(job(LOOKUP, "1"));

        askedAgents().forEach(agent -> entry.receive(agent, new Leaving("replaced")));
        entry.advance(1);

        assertThat(askedAgents(), hasSize(4));
    }

    @Test
    void onlyAgentsOfTheRosterVersionAreAskedAfterARelink() {
        agents(1);
        entry.submit(job(LOOKUP, "1"));
        entry.core.unlinked(agents.get(0), entry.now);

        entry.agent("agent-0", 8);
        Incarnation later = entry.agent("agent-1", 8);
        entry.advance(100);

        assertThat(demands(agents.get(0)), contains(demand(1, 0), demand(1, 0)));
        assertThat(demands(later), is(empty()));
    }

    @Test
    void demandIsResentToOneAgentAtATime() {
        agents(2);
        entry.submit(job(LOOKUP, "1"));
        entry.advance(10);
        assertThat(entry.output.all(Demand.class), hasSize(2));

        entry.advance(1_000);
        assertThat(entry.output.all(Demand.class), hasSize(3));
        entry.advance(1_000);

        agents.forEach(agent -> assertThat(demands(agent), hasSize(2)));
    }
}
