package org.knapweedmount.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.entry.EntryCore;
import org.knapweedmount.core.entry.EntryCounter;
import org.knapweedmount.core.entry.EntryLimits;
import org.knapweedmount.core.entry.EntryOutput;
import org.knapweedmount.core.entry.SubmissionRequest;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/** A simulated entry that answers its callers by callbacks. */
final class FakeEntry extends FakeProcess implements EntryOutput {
    /** Time after which an entry has set up its links and may receive requests, in ns. */
    private static final long READY_DELAY_NANOS = 150_000_000;

    private final FakeNetwork network;
    private final FakeStore store;
    private final FakeFleet fleet;
    private final EntryCore core;
    private final Map<Long, Consumer<JobAnswer>> callers = new HashMap<>();
    private final long createdNanos;
    private long requests;

    FakeEntry(PeerAddress address, ConfigState config, FakeFleet fleet) {
        super(address, fleet.scheduler());
        this.network = fleet.network();
        this.store = fleet.store();
        this.fleet = fleet;
        this.createdNanos = nowNanos();
        long seed = fleet.random().nextLong();
        this.core = new EntryCore(
                EntryLimits.DEFAULT,
                address,
                config,
                this,
                new Counters<>(EntryCounter.class),
                Invariants.fatal(),
                seed);
    }

    boolean ready() {
        return nowNanos() - createdNanos >= READY_DELAY_NANOS;
    }

    Optional<SubmissionId> issue() {
        return running() ? Optional.of(core.issue(1).get(0)) : Optional.empty();
    }

    void submit(SubmissionId id, JobSpec job, Consumer<JobAnswer> caller) {
        submit(new SubmissionRequest(Optional.of(id), Optional.empty(), false, FakeFleet.SERVICE, job, true), caller);
    }

    void submit(String key, boolean firstAttempt, JobSpec job, Consumer<JobAnswer> caller) {
        Optional<String> ownKey = Optional.of(key);
        submit(new SubmissionRequest(Optional.empty(), ownKey, firstAttempt, FakeFleet.SERVICE, job, true), caller);
    }

    private void submit(SubmissionRequest submission, Consumer<JobAnswer> caller) {
        long request = ++requests;
        callers.put(request, caller);
        deliver(() -> core.submit(request, submission, nowNanos()));
    }

    void cancel(SubmissionId id, Consumer<JobAnswer> caller) {
        long request = ++requests;
        callers.put(request, caller);
        deliver(() -> core.cancel(request, id, nowNanos()));
    }

    int unanswered() {
        return callers.size();
    }

    @Override
    public void send(Incarnation peer, Message message) {
        network.send(this, peer, message);
    }

    @Override
    public void connect(PeerAddress entry) {
        fleet.connectAcrossRegions(this, entry);
    }

    void addKnownEntries(List<PeerAddress> entries) {
        core.addKnownEntries(entries);
    }

    @Override
    public void answer(long request, JobAnswer answer) {
        Consumer<JobAnswer> caller = callers.remove(request);
        if (caller == null) {
            throw new AssertionError("request " + request + " is answered twice");
        }
        caller.accept(answer);
    }

    @Override
    public void claim(String key, SubmissionId proposed) {
        store.claim(key, proposed, result -> deliver(() -> core.claimCompleted(key, proposed, result, nowNanos())));
    }

    @Override
    public void lookUp(String key) {
        store.lookUp(key, claimedId -> deliver(() -> core.lookUpCompleted(key, claimedId, nowNanos())));
    }

    @Override
    EventHandlers handlers() {
        return new EventHandlers(core::linked, core::unlinked, core::receive, core::tick);
    }

    void drain() {
        deliver(() -> core.drain(nowNanos()));
    }
}
