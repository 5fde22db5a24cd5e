package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * The decision logic of one entry: accepts submissions, assigns their tasks to agents and answers callers.
 *
 * <p>Not thread-safe. Times are those of a monotonic clock, in ns.
 */
public final class EntryCore {
    private final EntryContext context;
    private final LocalRoster localRoster;
    private final IdIssuer issuer;
    private final PendingAnswers answers;
    private final AgentRegistry agents;
    private final ServiceRegistry services;
    private final TaskScheduler scheduler;
    private final Submissions submissions;
    private final InFlightTasks inFlightTasks;
    private final QueueTimeouts queueTimeouts;
    private final AgentLinks agentLinks;
    private final KeyClaims claims;
    private final Settlements settlements;
    private final RequestRelay relay;
    private final RequestRouter router;
    private final EntryLinks entryLinks;
    private final RemoteEntries remoteEntries;
    private boolean draining;

    /**
     * Creates the decision logic of an entry without links.
     *
     * @param limits the limits of memory and waiting
     * @param self the entry's own address
     * @param config the current configuration, changed by the owner before {@link #configChanged}
     * @param output carries out the decisions
     * @param counters the counters of the entry
     * @param invariants the invariant checks
     * @param seed the seed of the random choices
     */
    public EntryCore(
            EntryLimits limits,
            PeerAddress self,
            ConfigState config,
            EntryOutput output,
            Counters<EntryCounter> counters,
            Invariants invariants,
            long seed) {
        this.context = new EntryContext(limits, self, config, output, counters, invariants);
        this.localRoster = new LocalRoster(context);
        this.issuer = new IdIssuer(context, localRoster, new UsedIds(UsedIds.DEFAULT_WINDOW));
        this.answers = new PendingAnswers(context);
        this.agents = new AgentRegistry(context, localRoster);
        RunTimes runTimes = new RunTimes();
        this.services = new ServiceRegistry(context, runTimes);
        this.scheduler = new TaskScheduler(context, services, runTimes);
        Admission admission =
                new Admission(context, services, scheduler, runTimes, localRoster.linkedEntries(), new Random(seed));
        RetryPolicy retryPolicy = new RetryPolicy(context, services);
        this.submissions = new Submissions(context, issuer, answers, admission, scheduler, retryPolicy);
        this.inFlightTasks = new InFlightTasks(context, scheduler, submissions, services, runTimes);
        this.queueTimeouts = new QueueTimeouts(context, services, submissions, admission);
        this.agentLinks = new AgentLinks(agents, scheduler, inFlightTasks);
        this.claims = new KeyClaims(context, answers, issuer, submissions, admission);
        PeerRosters peerRosters = new PeerRosters();
        this.settlements = new Settlements(context, answers, agents, id -> rosterAgents(id, peerRosters));
        this.remoteEntries = new RemoteEntries(self);
        this.relay = new RequestRelay(context, answers, settlements, remoteEntries);
        this.router = new RequestRouter(context, answers, submissions, claims, relay, settlements);
        this.entryLinks = new EntryLinks(context, localRoster, peerRosters, relay, router, remoteEntries);
    }

    private Optional<List<PeerAddress>> rosterAgents(SubmissionId id, PeerRosters peerRosters) {
        boolean issuedHere = id.issuer().equals(context.self());
        return issuedHere ? localRoster.agents(id.rosterVersion()) : peerRosters.agents(id);
    }

    /**
     * Issues submission IDs, without waiting for any other process.
     *
     * @param count the number of IDs
     * @return the IDs
     */
    public List<SubmissionId> issue(int count) {
        return issuer.issue(count);
    }

    /**
     * Handles a caller's submission.
     *
     * @param request the number of the request, passed with the answer
     * @param submission the submission
     * @param nowNanos the current time, in ns
     */
    public void submit(long request, SubmissionRequest submission, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.register(requester);
        router.submit(requester, submission, nowNanos);
    }

    /**
     * Handles a caller's request for the state of a submission.
     *
     * <p>An issued ID that was not submitted yet is ended as not-run by this request and never starts, so that the
     * answer stays correct even if a submission with this ID is still in transit.
     *
     * @param request the number of the request, passed with the answer
     * @param id the submission
     * @param awaitEnd true to answer when the submission has ended, false to answer with the current state
     * @param nowNanos the current time, in ns
     */
    public void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.register(requester);
        router.status(id, requester, awaitEnd, nowNanos);
    }

    /**
     * Handles a caller's cancellation.
     *
     * @param request the number of the request, passed with the answer
     * @param id the submission
     * @param nowNanos the current time, in ns
     */
    public void cancel(long request, SubmissionId id, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.register(requester);
        router.cancel(id, requester, nowNanos);
    }

    /**
     * Handles the result of a claim requested by {@link EntryOutput#claim}.
     *
     * @param key the key that was claimed
     * @param proposed the ID that was proposed
     * @param result the result
     * @param nowNanos the current time, in ns
     */
    public void claimCompleted(String key, SubmissionId proposed, ClaimResult result, long nowNanos) {
        router.claimCompleted(key, proposed, result, nowNanos);
    }

    /**
     * Handles the result of a look-up requested by {@link EntryOutput#lookUp}.
     *
     * @param key the key that was looked up
     * @param claimedId the ID that it is bound to, empty if it was not claimed or the table service did not answer
     * @param nowNanos the current time, in ns
     */
    public void lookUpCompleted(String key, Optional<SubmissionId> claimedId, long nowNanos) {
        router.lookUpCompleted(key, claimedId, nowNanos);
    }

    /**
     * Finds the submission ID that an idempotency key is bound to among the keys that this entry remembers.
     *
     * @param team the team that the key was used with
     * @param key the idempotency key
     * @return the ID, empty if the key was not used through this entry or was evicted since
     */
    public Optional<SubmissionId> findClaimedId(String team, String key) {
        return claims.find(KeyClaims.claimName(team, key));
    }

    /**
     * Handles a new link to an agent or entry, after the hello messages were exchanged.
     *
     * @param peer the agent or entry
     * @param nowNanos the current time, in ns
     */
    public void linked(PeerAddress peer, long nowNanos) {
        if (peer.role() == Role.AGENT) {
            agentLinks.linked(peer, nowNanos);
            settlements.linked(peer.incarnation(), nowNanos);
        } else {
            remoteEntries.add(List.of(peer));
            entryLinks.linked(peer, nowNanos);
        }
    }

    /**
     * Adds known entries, to which requests for submissions of other regions can be relayed.
     *
     * @param knownEntries entries of any region
     */
    public void addKnownEntries(Collection<PeerAddress> knownEntries) {
        remoteEntries.add(knownEntries);
    }

    /**
     * Handles the loss of a link.
     *
     * @param peer the agent or entry that was linked
     * @param nowNanos the current time, in ns
     */
    public void unlinked(Incarnation peer, long nowNanos) {
        agentLinks.unlinked(peer, nowNanos);
        entryLinks.unlinked(peer, nowNanos);
    }

    /**
     * Handles a message from a linked agent or entry.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the current time, in ns
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        agentLinks.receive(from, message, nowNanos);
        if (message instanceof Sealed sealed) {
            settlements.sealed(from, sealed, nowNanos);
        } else if (message instanceof SealedBatch batch) {
            batch.answers().forEach(answer -> settlements.sealed(from, answer, nowNanos));
        } else {
            entryLinks.receive(from, message, nowNanos);
        }
    }

    /**
     * Applies a configuration that the owner has changed.
     *
     * @param nowNanos the current time, in ns
     */
    public void configChanged(long nowNanos) {
        scheduler.configChanged();
        agentLinks.configChanged(nowNanos);
    }

    /**
     * Does what is due by now: time limits of requests, lost agents, demands and settlements.
     *
     * @param nowNanos the current time, in ns
     */
    public void tick(long nowNanos) {
        inFlightTasks.tick(nowNanos);
        scheduler.tick(nowNanos);
        queueTimeouts.tick(nowNanos);
        relay.tick(nowNanos);
        settlements.tick(nowNanos);
        agents.evictExpired(nowNanos);
    }

    /**
     * Refuses new submissions from now on.
     *
     * <p>Requests about accepted submissions and about submissions of other entries are still handled.
     *
     * @param nowNanos the current time, in ns
     */
    public void drain(long nowNanos) {
        if (draining) {
            return;
        }
        draining = true;
        submissions.drain();
        scheduler.drain();
        Leaving leaving = new Leaving("draining");
        agents.all().stream()
                .filter(AgentState::linked)
                .forEach(agent -> context.output().send(agent.incarnation(), leaving));
        localRoster.linkedEntries().forEach(entry -> context.output().send(entry, leaving));
    }

    /**
     * Returns the state of this entry, for operators.
     *
     * @param nowNanos the current time, in ns
     * @return the state
     */
    public EntryStatus status(long nowNanos) {
        return StatusReport.of(services, localRoster, draining, nowNanos);
    }

    /**
     * Returns whether every accepted submission has ended and every caller is answered.
     *
     * @return true if nothing is pending
     */
    public boolean idle() {
        return submissions.isEmpty() && claims.isEmpty() && answers.isEmpty();
    }
}
