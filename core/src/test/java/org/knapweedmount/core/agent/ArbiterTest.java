package org.knapweedmount.core.agent;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.core.config.ConfigState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.agent.AgentFixture.BALANCE;
import static org.knapweedmount.core.agent.AgentFixture.E1;
import static org.knapweedmount.core.agent.AgentFixture.E2;
import static org.knapweedmount.core.agent.AgentFixture.SERVICE;
import static org.knapweedmount.core.agent.AgentFixture.SETTLEMENT;

class ArbiterTest {
    private static final int SLOTS = 8;
    private static final long EXPECTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ConfigState config = new ConfigState();
    private final SlotPolicy policy = new SlotPolicy(config, SERVICE);
    private final FlowTable flows = new FlowTable(policy);
    private final Arbiter arbiter = new Arbiter(policy, flows);
    private long now;

    ArbiterTest() {
        config.apply(new Ticket(
                1,
                "ana",
                List.of(
                        AgentFixture.kind("balance", true, 2, Resources.NONE),
                        AgentFixture.kind("settlement", false, 1, Resources.NONE))));
    }

    @Test
    void flowsAreServedByWeight() {
        demand(E1, BALANCE, 9, 0);
        demand(E2, SETTLEMENT, 9, 0);

        assertThat(serve(6), is("BSBBSB"));
    }

    @Test
    void teamsOfAKindAreServedByWeight() {
        config.apply(new Ticket(2, "ana", List.of(new TeamConfig("office", 3, 1), new TeamConfig("north", 1, 1))));
        demand(E1, new Flow("balance", "north"), 9, 0);
        demand(E2, SETTLEMENT, 9, 0);

        assertThat(serve(5), is("BSSBS"));
    }

    @Test
    void idleFlowEarnsNoCredit() {
        demand(E1, SETTLEMENT, 100, 0);
        assertThat(serve(4), is("SSSS"));

        demand(E2, BALANCE, 9, 0);

        assertThat(serve(6), is("BBSBBS"));
    }

    @Test
    void taskThatRanLongerThanAssumedCostsItsFlowTheDifference() {
        demand(E1, SETTLEMENT, 9, 0);
        demand(E2, BALANCE, 9, 0);
        FlowState settlement = flows.flow(SETTLEMENT, now);

        arbiter.reconcile(arbiter.charge(settlement), 3 * EXPECTED_NANOS);

        assertThat(serve(6), is("BBBBBB"));
    }

    @Test
    void chargeForATaskThatWasNotRunIsRefunded() {
        demand(E1, SETTLEMENT, 9, 0);
        demand(E2, BALANCE, 9, 0);

        arbiter.refund(arbiter.charge(flows.flow(SETTLEMENT, now)));

        assertThat(serve(2), is("SB"));
    }

    @Test
    void entryWhoseOldestTaskHasWaitedLongestIsServedFirst() {
        now = TimeUnit.SECONDS.toNanos(1);
        demand(E1, BALANCE, 2, 1_000);
        demand(E2, BALANCE, 1, 9_000);

        assertThat(selectNext().map(Arbiter.Selection::entry), is(Optional.of(E2)));
    }

    @Test
    void flowAtItsLimitIsSkipped() {
        config.apply(new Ticket(2, "ana", List.of(new TeamConfig("office", 1, 0.2))));
        demand(E1, SETTLEMENT, 9, 0);
        assertThat(serve(3), is("S"));

        demand(E2, BALANCE, 9, 0);

        assertThat(serve(2), is("BB"));
    }

    private void demand(Incarnation entry, Flow flow, int queued, long waitMicros) {
        flows.demand(entry, List.of(new FlowDemand(flow, queued, waitMicros)), now);
    }

    /** Grants slots to tasks that never end, and returns the initials of the kinds in the order of the grants. */
    private String serve(int slots) {
        StringBuilder served = new StringBuilder();
        for (int i = 0; i < slots; i++) {
            selectNext().ifPresent(selection -> {
                arbiter.charge(selection.flow());
                flows.leaseGranted(selection.flow(), selection.entry(), now);
                served.append(selection.flow().flow().kind().substring(0, 1).toUpperCase(Locale.ROOT));
            });
        }
        return served.toString();
    }

    private Optional<Arbiter.Selection> selectNext() {
        return arbiter.selectNext(SlotLimits.of(policy, flows, SLOTS, now), 0, entry -> true, flow -> true);
    }
}
