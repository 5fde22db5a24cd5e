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
    private boolean down;
    private boolean losesResponses;
    private boolean unconditional;

    FakeStore(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void down(boolean value) {
        down = value;
    }

    void losesResponses(boolean value) {
        losesResponses = value;
    }

    /** Makes every claim succeed, as if the write had no condition. */
    void unconditional() {
        unconditional = true;
    }

    void lookUp(String key, Consumer<Optional<SubmissionId>> caller) {
        Optional<SubmissionId> holder = down ? Optional.empty() : Optional.ofNullable(claims.get(key));
        scheduler.after(down ? TIMEOUT_NANOS : RESPONSE_NANOS, () -> caller.accept(holder));
    }

    void claim(String key, SubmissionId proposed, Consumer<ClaimResult> caller) {
        if (down) {
            scheduler.after(TIMEOUT_NANOS, () -> caller.accept(new ClaimResult(Optional.empty())));
            return;
        }
        SubmissionId holder = unconditional ? proposed : claims.computeIfAbsent(key, unclaimed -> proposed);
        Optional<SubmissionId> told = losesResponses ? Optional.empty() : Optional.of(holder);
        scheduler.after(RESPONSE_NANOS, () -> caller.accept(new ClaimResult(told)));
    }
}
