package org.knapweedmount.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.entry.ClaimResult;

/** A simulated table service with latency, outages and lost write responses. */
final class FakeStore {
    private static final long RESPONSE_NANOS = 5_000_000;
    private static final long TIMEOUT_NANOS = 500_000_000;

    private final Scheduler scheduler;
    private final Map<String, SubmissionId> claims = new HashMap<>();
    private boolean unavailable;
    private boolean losesResponses;
    private boolean unconditional;

    FakeStore(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void unavailable(boolean value) {
        unavailable = value;
    }

    void losesResponses(boolean value) {
        losesResponses = value;
    }

    /** Makes every claim succeed, as if the write had no condition. */
    void unconditional() {
        unconditional = true;
    }

    void lookUp(String key, Consumer<Optional<SubmissionId>> caller) {
        Optional<SubmissionId> claimedId = unavailable ? Optional.empty() : Optional.ofNullable(claims.get(key));
        scheduler.after(unavailable ? TIMEOUT_NANOS : RESPONSE_NANOS, () -> caller.accept(claimedId));
    }

    void claim(String key, SubmissionId proposed, Consumer<ClaimResult> caller) {
        if (unavailable) {
            scheduler.after(TIMEOUT_NANOS, () -> caller.accept(new ClaimResult(Optional.empty())));
            return;
        }
        SubmissionId claimedId = unconditional ? proposed : claims.computeIfAbsent(key, unclaimed -> proposed);
        Optional<SubmissionId> reported = losesResponses ? Optional.empty() : Optional.of(claimedId);
        scheduler.after(RESPONSE_NANOS, () -> caller.accept(new ClaimResult(reported)));
    }
}
