package org.knapweedmount.core.dispatch;

import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Submits jobs again to other entries while entries lose each other and stand still. */
class OwnershipFleetTest {
    private static final int RESEND_MILLIS = 1_300;
    private static final int DURATION_MILLIS = 60_000;

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("seeds", 80));
    }

    private static int other(OwnershipFleet fleet, int entry) {
        return (entry + 1 + fleet.random().nextInt(fleet.entryCount() - 1)) % fleet.entryCount();
    }

    /**
     * Submits a job, mostly breaks the connection after a time, and submits it again.
     *
     * @param unreadIsCutOff whether an entry that stands still may not learn that the connection was closed
     */
    private static void call(OwnershipFleet fleet, String job, int attempts, boolean unreadIsCutOff) {
        int entry = fleet.random().nextInt(fleet.entryCount());
        fleet.submit(entry, job, 100 + fleet.random().nextInt(3_000));
        if (attempts == 1 || fleet.random().nextInt(4) == 0) {
            return;
        }
        int brokenAfterMillis = fleet.random().nextInt(1_500);
        boolean noticed = fleet.random().nextInt(3) > 0;
        fleet.after(brokenAfterMillis, () -> {
            if (noticed || (!unreadIsCutOff && fleet.standsStill(entry))) {
                fleet.disconnect(entry, job);
            }
            fleet.after(RESEND_MILLIS, () -> call(fleet, job, attempts - 1, unreadIsCutOff));
        });
    }

    private static void load(OwnershipFleet fleet, int number, boolean unreadIsCutOff) {
        fleet.after(40 + fleet.random().nextInt(80), () -> {
            call(fleet, "%016x".formatted(number), 4, unreadIsCutOff);
            load(fleet, number + 1, unreadIsCutOff);
        });
    }

    private static void faults(OwnershipFleet fleet) {
        fleet.after(200 + fleet.random().nextInt(5_000), () -> {
            int entry = fleet.random().nextInt(fleet.entryCount());
            switch (fleet.random().nextInt(4)) {
                case 0 -> fleet.resetLink(entry, other(fleet, entry));
                case 1 ->
                    fleet.cutLink(
                            entry, other(fleet, entry), 200 + fleet.random().nextInt(4_000));
                case 2 -> fleet.standStill(entry, 200 + fleet.random().nextInt(5_000), false);
                default -> fleet.standStill(entry, 200 + fleet.random().nextInt(5_000), true);
            }
            faults(fleet);
        });
    }

    /** Restarts entries, while others are cut off from each other, stand still or have silent links. */
    private static void restarts(OwnershipFleet fleet) {
        fleet.after(200 + fleet.random().nextInt(3_000), () -> {
            int entry = fleet.random().nextInt(fleet.entryCount());
            switch (fleet.random().nextInt(3)) {
                case 0 -> fleet.restart(entry, 100 + fleet.random().nextInt(1_500));
                case 1 ->
                    fleet.holdLink(
                            entry, other(fleet, entry), 200 + fleet.random().nextInt(1_200));
                default -> {
                    // No fault beside those of the other series.
                }
            }
            restarts(fleet);
        });
    }

    private static void assertNoTaskRunsTwice(long seed, boolean unreadIsCutOff) {
        OwnershipFleet fleet = new OwnershipFleet(seed, 3);
        fleet.after(200, () -> load(fleet, 1, unreadIsCutOff));
        fleet.after(1_000, () -> faults(fleet));
        assertNoTaskRunsTwice(fleet);
    }

    private static void assertNoTaskRunsTwice(OwnershipFleet fleet) {
        fleet.run(DURATION_MILLIS);

        assertThat(fleet.violations(), is(empty()));
        assertThat(fleet.started(), is(greaterThan(300)));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void resubmittedJobsNeverRunTwiceAtTheSameTime(long seed) {
        assertNoTaskRunsTwice(seed, false);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void requestsOfCallersThatLeaveUnnoticedDuringAStallNeverRunTwiceAtTheSameTime(long seed) {
        assertNoTaskRunsTwice(seed, true);
    }

    // An entry that had just started admitted jobs that others ran, before it was linked to them.
    @ParameterizedTest
    @MethodSource("seeds")
    void jobsThatOtherEntriesRunAreNotAdmittedByOneThatHasJustStarted(long seed) {
        OwnershipFleet fleet = new OwnershipFleet(seed, 3);
        fleet.after(200, () -> load(fleet, 1, true));
        fleet.after(1_000, () -> faults(fleet));
        fleet.after(1_000, () -> restarts(fleet));
        assertNoTaskRunsTwice(fleet);
    }

    private static void isolations(OwnershipFleet fleet) {
        fleet.after(500 + fleet.random().nextInt(4_000), () -> {
            fleet.isolate(
                    fleet.random().nextInt(fleet.entryCount()),
                    300 + fleet.random().nextInt(5_000));
            isolations(fleet);
        });
    }

    // An entry that was cut off from all others ordered its lost runs again before it was linked to them.
    @ParameterizedTest
    @MethodSource("seeds")
    void jobsOfAnEntryThatWasCutOffAreNotRunAgainBesideThoseOfOthers(long seed) {
        OwnershipFleet fleet = new OwnershipFleet(seed, 3);
        fleet.after(200, () -> load(fleet, 1, true));
        fleet.after(1_000, () -> isolations(fleet));
        fleet.after(1_000, () -> faults(fleet));
        assertNoTaskRunsTwice(fleet);
    }
}
