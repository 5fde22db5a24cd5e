package org.knapweedmount.core.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.LeaseScope;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUPS;
import static org.knapweedmount.core.entry.EntryFixture.SERVICE;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.job;

class DemandTest {
    private final EntryFixture entry = new EntryFixture();
    private final Incarnation first = entry.agent("agent-1", 8);
    private final Incarnation second = entry.agent("agent-2", 8);

    private static Demand demand(int queued, long waitedMicros) {
        return new Demand(SERVICE, List.of(new FlowDemand(LOOKUPS, queued, waitedMicros)));
    }

    /** Lets an agent report slots free elsewhere, and uses up the lease that it reports them with. */
    private void hint(Incarnation agent, int freeElsewhere) {
        entry.submit(job(LOOKUP, "hint"));
        entry.grant(agent, 1, LeaseScope.ANY, Optional.empty(), freeElsewhere);
        entry.finish(agent, entry.lastStart(), complete(""));
        entry.after(100);
        entry.output.sent.clear();
    }

    @Test
    void withoutAHintAllAgentsAreAsked() {
        entry.submit(job(LOOKUP, "a"));

        assertThat(entry.output.to(first, Demand.class), contains(demand(1, 0)));
        assertThat(entry.output.to(second, Demand.class), contains(demand(1, 0)));
    }

    @Test
    void agentWithMostSlotsFreeElsewhereIsAskedAlone() {
        hint(first, 1);
        hint(second, 3);

        entry.submit(job(LOOKUP, "a"));

        assertThat(entry.output.to(second, Demand.class), contains(demand(1, 0)));
        assertThat(entry.output.to(first, Demand.class), is(empty()));
    }

    @Test
    void allAgentsAreAskedWhenTheOneAskedDoesNotHelp() {
        hint(second, 3);
        entry.submit(job(LOOKUP, "a"));

        entry.after(6);

        assertThat(entry.output.to(first, Demand.class), contains(demand(1, 6_000)));
    }

    @Test
    void growingQueueIsToldAgainOnlyWhenItHasGrownFourfold() {
        entry.submit(job(LOOKUP, "1"));
        entry.after(10);
        entry.submit(job(LOOKUP, "2"));
        entry.submit(job(LOOKUP, "3"));
        assertThat(entry.output.to(first, Demand.class), hasSize(1));

        entry.submit(job(LOOKUP, "4"));

        assertThat(entry.output.to(first, Demand.class), contains(demand(1, 0), demand(4, 10_000)));
    }

    @Test
    void demandIsWithdrawnOnlyWhenTheQueueStaysEmpty() {
        entry.submit(job(LOOKUP, "1"));
        entry.grant(first, 1);
        entry.after(10);
        assertThat(entry.output.to(second, Demand.class), hasSize(1));

        entry.after(15);

        assertThat(entry.output.to(second, Demand.class), contains(demand(1, 0), new Demand(SERVICE, List.of())));
        // The start has told the first agent already.
        assertThat(entry.output.to(first, Demand.class), hasSize(1));
    }

    @Test
    void queueThatFillsAgainIsToldOnlyToAgentsThatBelieveItEmpty() {
        entry.submit(job(LOOKUP, "1"));
        entry.grant(first, 1);
        entry.after(10);

        entry.submit(job(LOOKUP, "2"));

        assertThat(entry.output.to(first, Demand.class), hasSize(2));
        assertThat(entry.output.to(second, Demand.class), hasSize(1));
    }

    @Test
    void demandsToOneAgentKeepAnInterval() {
        entry.submit(job(LOOKUP, "1"));
        entry.grant(first, 1);

        entry.submit(job(LOOKUP, "2"));
        assertThat(entry.output.to(first, Demand.class), hasSize(1));
        entry.after(6);

        assertThat(entry.output.to(first, Demand.class), contains(demand(1, 0), demand(1, 6_000)));
    }

    @Test
    void agentThatIsLinkedAgainIsToldAndOneThatMayNotBeSentTheTaskIsNot() {
        entry.submit(job(LOOKUP, "1"));
        entry.core.unlinked(second, entry.now);

        entry.agent("agent-2", 8);
        Incarnation third = entry.agent("agent-3", 8);

        assertThat(entry.output.to(second, Demand.class), contains(demand(1, 0), demand(1, 0)));
        assertThat(entry.output.to(third, Demand.class), is(empty()));
    }
}
