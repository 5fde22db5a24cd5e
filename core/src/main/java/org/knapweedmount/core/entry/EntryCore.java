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
 * Decides for one entry: which submissions are accepted, where their tasks run, and what callers are answered.
 *
 * <p>Used by one thread. Times are of a monotonic clock, in nanoseconds.
 */
public final class EntryCore {
    private final EntryContext context;
    private final OwnRoster roster;
    private final IdIssuer issuer;
    private final Answers answers;
    private final Agents agents;
    private final Services services;
    private final TaskScheduler scheduler;
    private final Submissions submissions;
    private final StartedTasks startedTasks;
    private final QueueWatch queueWatch;
    private final AgentLinks agentLinks;
    private final KeyClaims claims;
    private final Settlements settlements;
    private final Relays relays;
    private final RequestRouter router;
    private final EntryLinks entryLinks;
    private final RemoteEntries remoteEntries;
    private boolean draining;

    /**
     * Creates the decisions of an entry without links.
     *
     * @param limits what bounds memory and waiting
     * @param self the entry's own address
     * @param config the configuration in force, changed by the owner before {@link #configChanged}
     * @param output carries out what is decided
     * @param counters what is counted
     * @param invariants checks of the program itself
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
        this.roster = new OwnRoster(context);
        this.issuer = new IdIssuer(context, roster, new UsedIds(UsedIds.DEFAULT_WINDOW));
        this.answers = new Answers(context);
        this.agents = new Agents(context, roster);
        RunTimes runTimes = new RunTimes();
        this.services = new Services(context, runTimes);
        this.scheduler = new TaskScheduler(context, services, runTimes);
        Admission admission =
                new Admission(context, services, scheduler, runTimes, roster.linkedEntries(), new Random(seed));
        RetryPolicy retries = new RetryPolicy(context, services);
        this.submissions = new Submissions(context, issuer, answers, admission, scheduler, retries);
        this.startedTasks = new StartedTasks(context, scheduler, submissions, services, runTimes);
        this.queueWatch = new QueueWatch(context, services, submissions, admission);
        this.agentLinks = new AgentLinks(agents, scheduler, startedTasks);
        this.claims = new KeyClaims(context, answers, issuer, submissions, admission);
        PeerRosters peerRosters = new PeerRosters();
        this.settlements = new Settlements(context, answers, agents, id -> roster(id, peerRosters));
        this.remoteEntries = new RemoteEntries(self);
        this.relays = new Relays(context, answers, settlements, remoteEntries);
        this.router = new RequestRouter(context, answers, submissions, claims, relays, settlements);
        this.entryLinks = new EntryLinks(context, roster, peerRosters, relays, router, remoteEntries);
    }

    private Optional<List<PeerAddress>> roster(SubmissionId id, PeerRosters peerRosters) {
        boolean own = id.issuer().equals(context.self());
        return own ? roster.agents(id.rosterVersion()) : peerRosters.agents(id);
    }

    /**
     * Issues ids from memory.
     *
     * @param count how many
     * @return the ids
     */
    public List<SubmissionId> issue(int count) {
        return issuer.issue(count);
    }

    /**
     * Takes a caller's submission.
     *
     * @param request a number that the answer is given under
     * @param submission the submission
     * @param nowNanos the present time
     */
    public void submit(long request, SubmissionRequest submission, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.await(requester);
        router.submit(requester, submission, nowNanos);
    }

    /**
     * Takes a caller's question for the state of a submission.
     *
     * <p>An issued id that was not submitted yet is ended by the question as not-run and never starts, so that the answer
     * stays true whatever is still under way.
     *
     * @param request a number that the answer is given under
     * @param id the submission
     * @param awaitEnd true if the answer is wanted when the submission has ended
     * @param nowNanos the present time
     */
    public void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.await(requester);
        router.status(id, requester, awaitEnd, nowNanos);
    }

    /**
     * Takes a caller's cancellation.
     *
     * @param request a number that the answer is given under
     * @param id the submission
     * @param nowNanos the present time
     */
    public void cancel(long request, SubmissionId id, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.await(requester);
        router.cancel(id, requester, nowNanos);
    }

    /**
     * Takes the result of a claim asked for by {@link EntryOutput#claim}.
     *
     * @param key the key that was claimed
     * @param proposed the id that was proposed
     * @param result the result
     * @param nowNanos the present time
     */
    public void claimCompleted(String key, SubmissionId proposed, ClaimResult result, long nowNanos) {
        router.claimed(key, proposed, result, nowNanos);
    }

    /**
     * Takes the result of a question asked by {@link EntryOutput#lookUp}.
     *
     * @param key the key that was looked up
     * @param holder the id that it stands for, empty if it was not claimed or the table service could not be asked
     * @param nowNanos the present time
     */
    public void lookUpCompleted(String key, Optional<SubmissionId> holder, long nowNanos) {
        router.lookedUp(key, holder, nowNanos);
    }

    /**
     * Finds the id that a caller's own key stands for, as far as this entry knows.
     *
     * @param team the team that the key was used with
     * @param key the caller's key
     * @return the id, empty if the key was not used through this entry or not lately
     */
    public Optional<SubmissionId> findClaimedId(String team, String key) {
        return claims.find(KeyClaims.name(team, key));
    }

    /**
     * Takes a new link to an agent or entry, after both sides have said hello.
     *
     * @param peer the agent or entry
     * @param nowNanos the present time
     */
    public void linked(PeerAddress peer, long nowNanos) {
        if (peer.role() == Role.AGENT) {
            agentLinks.linked(peer, nowNanos);
            settlements.linked(peer.incarnation(), nowNanos);
        } else {
            remoteEntries.know(List.of(peer));
            entryLinks.linked(peer, nowNanos);
        }
    }

    /**
     * Takes entries that exist, so that it is known whom to ask for submissions of other regions.
     *
     * @param entries entries of any region
     */
    public void addKnownEntries(Collection<PeerAddress> entries) {
        remoteEntries.know(entries);
    }

    /**
     * Takes the loss of a link.
     *
     * @param peer the agent or entry that was linked
     * @param nowNanos the present time
     */
    public void unlinked(Incarnation peer, long nowNanos) {
        agentLinks.unlinked(peer, nowNanos);
        entryLinks.unlinked(peer, nowNanos);
    }

    /**
     * Takes a message from a linked agent or entry.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the present time
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
     * Takes note that the owner has changed the configuration.
     *
     * @param nowNanos the present time
     */
    public void configChanged(long nowNanos) {
        scheduler.configChanged();
        agentLinks.configChanged(nowNanos);
    }

    /**
     * Does what is due by now: time limits of requests, lost agents and settlements.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        startedTasks.tick(nowNanos);
        scheduler.tick(nowNanos);
        queueWatch.tick(nowNanos);
        relays.tick(nowNanos);
        settlements.tick(nowNanos);
        agents.forget(nowNanos);
    }

    /**
     * Refuses new submissions from now on; accepted ones and relayed questions go on.
     *
     * @param nowNanos the present time
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
        roster.linkedEntries().forEach(entry -> context.output().send(entry, leaving));
    }

    /**
     * Returns the state of this entry, for operators.
     *
     * @param nowNanos the present time
     * @return the state
     */
    public EntryStatus status(long nowNanos) {
        return StatusReport.of(services, roster, draining, nowNanos);
    }

    /**
     * Tells whether every accepted submission has ended and every caller is answered.
     *
     * @return true if nothing is left to do
     */
    public boolean idle() {
        return submissions.isEmpty() && claims.isEmpty() && answers.isEmpty();
    }
}
