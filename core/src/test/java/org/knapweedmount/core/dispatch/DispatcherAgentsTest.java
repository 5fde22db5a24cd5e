package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.CAPACITY_MILLI_CORES;
import static org.knapweedmount.core.dispatch.DispatcherFixture.FIRST;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.SECOND;

/** What an entry does when an agent is replaced. */
class DispatcherAgentsTest {
    private static final Incarnation SUCCESSOR = new Incarnation(AGENT.process(), 2);

    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    @Test
    void lateReportOfAReplacedAgentDoesNotReleaseTheRunsOfItsSuccessor() {
        fixture.unlink(AGENT, 10);
        dispatcher.agentLinked(SUCCESSOR, DispatchFixture.millisToNanos(20));
        fixture.report(SUCCESSOR, 20, 20, CAPACITY_MILLI_CORES);
        fixture.submit(30);

        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(40));
        fixture.report(AGENT, 40, 40, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void lateReportOfAReplacedAgentThatWasForgottenDoesNotReleaseTheRunsOfItsSuccessor() {
        fixture.unlink(AGENT, 10);
        fixture.tick(1_101);
        dispatcher.agentLinked(SUCCESSOR, DispatchFixture.millisToNanos(1_200));
        fixture.report(SUCCESSOR, 1_200, 1_200, CAPACITY_MILLI_CORES);
        fixture.submit(1_210);

        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(1_220));
        fixture.report(AGENT, 1_220, 1_220, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** An entry that has lost many runs has counted far, and one that takes over its callers counts from 1. */
    @Test
    void runNumberOfAnEarlierEntryIsPassedWithinTenOrders() {
        fixture.submit(0);
        for (int order = 1; order < 10; order++) {
            RunRef last = fixture.ordered().get(order - 1);
            fixture.sendResult(last, RunOutcome.OUTDATED, order);
            fixture.report(order, CAPACITY_MILLI_CORES);
        }

        assertThat(fixture.ordered().get(9).run(), is(greaterThan(2_000)));
    }

    @Test
    void reportOfASuccessorReleasesTheRunsOfTheReplacedAgent() {
        fixture.submit(0);
        fixture.unlink(AGENT, 10);
        dispatcher.agentLinked(SUCCESSOR, DispatchFixture.millisToNanos(20));

        fixture.report(SUCCESSOR, 20, 20, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), contains(FIRST, SECOND));
    }

    @Test
    void lateResultOfALostRunDoesNotEndTheRunOfALaterSubmission() {
        fixture.report(0, 1_000);
        fixture.submit(0);
        fixture.tick(1_101);
        cancel(1_105);
        fixture.submit(1_110);
        fixture.report(1_120, CAPACITY_MILLI_CORES);

        fixture.sendResult(FIRST, RunOutcome.REFUSED, 1_121);

        assertThat(fixture.ordered(), contains(FIRST, SECOND));
    }

    /** A stop order that is lost with a reset link must not leave its run under a renewed lease. */
    @Test
    void stopThatIsLostWithAResetLinkIsSentAgainOnTheNewLink() {
        fixture.submit(0);
        fixture.unlink(AGENT, 10);
        cancel(11);
        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(20));
        fixture.sent().clear();

        fixture.receive(AGENT, new ActiveRuns(List.of(FIRST)), 21);

        assertThat(fixture.stopped(), contains(FIRST));
    }

    /** A run whose stop order was lost without a new list of runs must not go on under renewals. */
    @Test
    void stopIsRepeatedUntilTheEndOfTheRunIsReported() {
        fixture.submit(0);
        cancel(10);
        fixture.sent().clear();

        fixture.report(300, CAPACITY_MILLI_CORES);
        fixture.report(350, CAPACITY_MILLI_CORES);
        fixture.report(450, CAPACITY_MILLI_CORES);
        assertThat(fixture.stopped(), contains(FIRST, FIRST));

        fixture.sendResult(FIRST, RunOutcome.STOPPED, 460);
        fixture.report(600, CAPACITY_MILLI_CORES);
        assertThat(fixture.stopped(), contains(FIRST, FIRST));
    }

    @Test
    void stopIsRepeatedBeforeTheLeaseIsRenewed() {
        fixture.submit(0);
        cancel(10);
        fixture.sent().clear();

        fixture.report(300, CAPACITY_MILLI_CORES);

        assertThat(
                fixture.sent().stream().map(DispatcherFixture.Sent::message).toList(),
                contains(instanceOf(StopRuns.class), instanceOf(LeaseRenewal.class)));
    }

    private void cancel(long millis) {
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(millis));
    }

    @Test
    void runOfASilentAgentIsNotOrderedFromItAgain() {
        fixture.submit(0);

        fixture.tick(1_101);

        assertThat(fixture.ordered(), contains(FIRST));
    }
}
