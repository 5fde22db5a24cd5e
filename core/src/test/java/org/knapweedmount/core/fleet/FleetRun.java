package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;

/** One seeded run: callers submit and resubmit under faults; then all faults end and the run continues. */
final class FleetRun {
    private static final List<Fault> FAULTS = List.of(Fault.values());
    private static final List<Fault> FAULTS_IN_ONE_REGION =
            FAULTS.stream().filter(fault -> fault != Fault.REGIONS_PARTITIONED).toList();
    private static final int SHOWN_VIOLATIONS = 5;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long FAULT_END_NANOS = 30_000 * NANOS_PER_MILLI;
    private static final long END_NANOS = 60_000 * NANOS_PER_MILLI;
    private static final int SUBMIT_SPREAD_MILLIS = 60;
    private static final int FAULT_SPREAD_MILLIS = 800;
    private static final int RARE_FAULT_SPREAD_MILLIS = 8_000;
    private static final int RESEND_SPREAD_MILLIS = 3_000;
    private static final int OUTAGE_SPREAD_MILLIS = 3_000;
    private static final double RESEND_SHARE = 0.4;
    private static final double CANCEL_SHARE = 0.05;
    private static final double OWN_KEY_SHARE = 0.2;

    private final Random random;
    private final FakeFleet fleet;
    private final List<Submission> submissions = new ArrayList<>();
    private List<Fault> faults;
    private int faultSpreadMillis = FAULT_SPREAD_MILLIS;
    private double cancelShare = CANCEL_SHARE;

    private FleetRun(long seed, FakeFleet fleet, List<Fault> faults) {
        this.random = new Random(seed);
        this.fleet = fleet;
        this.faults = faults;
    }

    static FleetRun of(long seed) {
        return new FleetRun(seed, new FakeFleet(seed, FleetSite.SMALL), FAULTS_IN_ONE_REGION);
    }

    /** Creates a run in several regions, each of the size used by {@link #of}. */
    static FleetRun inRegions(long seed, int regions) {
        return new FleetRun(seed, new FakeFleet(seed, FleetSite.SMALL.inRegions(regions)), FAULTS);
    }

    /** Disables faults, task failures and cancellations. */
    FleetRun withoutFaults() {
        faults = List.of();
        cancelShare = 0;
        fleet.reliableExecutors();
        return this;
    }

    /** Injects only one fault, at a low rate, and disables task failures and cancellations. */
    FleetRun withOnly(Fault fault) {
        faults = List.of(fault);
        faultSpreadMillis = RARE_FAULT_SPREAD_MILLIS;
        cancelShare = 0;
        fleet.reliableExecutors();
        return this;
    }

    FleetRun withInterceptor(UnaryOperator<Message> interceptor) {
        fleet.network().interceptor(interceptor);
        return this;
    }

    FleetRun withUnconditionalClaims() {
        fleet.store().unconditional();
        return this;
    }

    FleetRun run() {
        fleet.scheduler().runUntil(100 * NANOS_PER_MILLI);
        scheduleSubmission();
        if (!faults.isEmpty()) {
            scheduleFault();
        }
        fleet.scheduler().runUntil(FAULT_END_NANOS);
        endFaults();
        fleet.scheduler().runUntil(END_NANOS);
        return this;
    }

    int submissions() {
        return submissions.size();
    }

    int unanswered() {
        return fleet.unansweredByAliveEntries();
    }

    /** Returns the number of answers with an outcome, by reason and detail. */
    Map<String, Long> reasons(Outcome outcome) {
        return submissions.stream()
                .flatMap(submission -> submission.reasons(outcome).stream())
                .collect(Collectors.groupingBy(reason -> reason, Collectors.counting()));
    }

    int count(Outcome outcome) {
        return (int) submissions.stream()
                .filter(submission -> submission.ended(outcome))
                .count();
    }

    List<String> violations() {
        return submissions.stream()
                .flatMap(submission -> submission.violations(fleet.log()).stream())
                .limit(SHOWN_VIOLATIONS)
                .toList();
    }

    private void scheduleSubmission() {
        if (fleet.scheduler().nowNanos() >= FAULT_END_NANOS) {
            return;
        }
        submitOne();
        fleet.scheduler().after(random.nextInt(SUBMIT_SPREAD_MILLIS) * NANOS_PER_MILLI, this::scheduleSubmission);
    }

    private void submitOne() {
        FakeEntry entry = randomEntry();
        boolean ownKey = random.nextDouble() < OWN_KEY_SHARE;
        Optional<SubmissionId> id = ownKey ? Optional.empty() : entry.issue();
        if (!ownKey && id.isEmpty()) {
            return;
        }
        Submission submission = new Submission(submissions.size(), id, random);
        submissions.add(submission);
        submission.send(entry, true, fleet.log());
        while (random.nextDouble() < RESEND_SHARE) {
            later(RESEND_SPREAD_MILLIS, () -> submission.send(randomEntry(), false, fleet.log()));
        }
        if (random.nextDouble() < cancelShare) {
            later(RESEND_SPREAD_MILLIS, () -> submission.cancel(randomEntry()));
        }
    }

    private FakeEntry randomEntry() {
        return fleet.readyEntry(random);
    }

    private void later(int spreadMillis, Runnable action) {
        fleet.scheduler().after(random.nextInt(spreadMillis) * NANOS_PER_MILLI, action);
    }

    private void scheduleFault() {
        if (fleet.scheduler().nowNanos() >= FAULT_END_NANOS) {
            return;
        }
        faults.get(random.nextInt(faults.size())).inject(fleet, random, OUTAGE_SPREAD_MILLIS);
        later(faultSpreadMillis, this::scheduleFault);
    }

    private void endFaults() {
        fleet.resumeAll();
        fleet.store().unavailable(false);
        fleet.store().losesResponses(false);
    }
}
