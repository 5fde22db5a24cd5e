package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Checks the outcomes of submissions of a replaced entry after agents were replaced or stopped. */
class MembershipTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int ENTRIES = 3;
    private static final int AGENTS = 5;
    private static final int CHANGED_AGENT = 2;
    private static final int SUBMISSIONS = 20;
    private static final long LINK_SETUP_MILLIS = 500;
    private static final long SETTLEMENT_MILLIS = 5_000;

    private FakeFleet fleet;

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44})
    void idsIssuedAfterAnAgentWasReplacedAreSettledWithoutIt(long seed) {
        List<Submission> submissions = settle(seed, MembershipTest::replaceAgent, MembershipTest::noChange);

        assertThat(outcomes(submissions), is(Map.of(Outcome.NOT_RUN, SUBMISSIONS)));
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54})
    void idsIssuedAfterAnAgentBeganToStopAreSettledWithoutIt(long seed) {
        List<Submission> submissions = settle(seed, MembershipTest::drainAgent, MembershipTest::replaceAgent);

        assertThat(outcomes(submissions), is(Map.of(Outcome.NOT_RUN, SUBMISSIONS)));
    }

    @ParameterizedTest
    @ValueSource(longs = {61, 62})
    void idsIssuedBeforeAnAgentWasReplacedStayUnknown(long seed) {
        List<Submission> submissions = settle(seed, MembershipTest::noChange, MembershipTest::replaceAgent);

        assertThat(outcomes(submissions), is(Map.of(Outcome.UNKNOWN, SUBMISSIONS)));
    }

    private static void noChange(FakeFleet fleet) {}

    private static void replaceAgent(FakeFleet fleet) {
        fleet.replaceAgent(CHANGED_AGENT);
    }

    private static void drainAgent(FakeFleet fleet) {
        FakeAgent agent = fleet.agents().get(CHANGED_AGENT);
        agent.deliver(agent::drain);
    }

    /** Issues IDs at an entry between two changes, replaces the entry, and submits the IDs to another entry. */
    private List<Submission> settle(long seed, Consumer<FakeFleet> before, Consumer<FakeFleet> after) {
        fleet = new FakeFleet(seed, FleetSite.SMALL.sized(1, ENTRIES, AGENTS));
        advance(LINK_SETUP_MILLIS);
        before.accept(fleet);
        advance(LINK_SETUP_MILLIS);
        List<Submission> submissions = issue(seed);
        advance(LINK_SETUP_MILLIS);
        after.accept(fleet);
        fleet.replaceEntry(0);
        advance(LINK_SETUP_MILLIS);
        submissions.forEach(submission -> submission.send(fleet.entries().get(1), true, fleet.log()));
        advance(SETTLEMENT_MILLIS);
        return submissions;
    }

    private List<Submission> issue(long seed) {
        Random random = new Random(seed);
        List<Submission> submissions = new ArrayList<>();
        for (int number = 0; number < SUBMISSIONS; number++) {
            submissions.add(new Submission(number, fleet.entries().get(0).issue(), random));
        }
        return submissions;
    }

    private void advance(long millis) {
        fleet.scheduler().runUntil(fleet.scheduler().nowNanos() + millis * NANOS_PER_MILLI);
    }

    private static Map<Outcome, Integer> outcomes(List<Submission> submissions) {
        Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            int count = (int)
                    submissions.stream().filter(each -> each.ended(outcome)).count();
            if (count > 0) {
                counts.put(outcome, count);
            }
        }
        return counts;
    }
}
