package org.knapweedmount.core.entry;

import java.util.List;
import java.util.Random;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
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
    private final TaskScheduler scheduler;
    private final Submissions submissions;
    private final StartedTasks startedTasks;
    private final AgentLinks agentLinks;

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
        Services services = new Services(context, runTimes);
        this.scheduler = new TaskScheduler(context, services);
        Admission admission =
                new Admission(context, services, scheduler, runTimes, roster.linkedEntries(), new Random(seed));
        RetryPolicy retries = new RetryPolicy(context, services);
        this.submissions = new Submissions(context, issuer, answers, admission, scheduler, retries);
        this.startedTasks = new StartedTasks(context, scheduler, submissions, retries, runTimes);
        this.agentLinks = new AgentLinks(agents, scheduler, startedTasks);
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
        JobRequest job = new JobRequest(requester, submission.service(), submission.job(), submission.awaitEnd());
        if (submission.id().isPresent()) {
            submissions.submit(submission.id().get(), job, nowNanos);
        } else {
            submissions.submitNew(job, nowNanos);
        }
    }

    /**
     * Takes a caller's question for the state of a submission.
     *
     * @param request a number that the answer is given under
     * @param id the submission
     * @param awaitEnd true if the answer is wanted when the submission has ended
     * @param nowNanos the present time
     */
    public void status(long request, SubmissionId id, boolean awaitEnd, long nowNanos) {
        Requester requester = Requester.caller(request);
        answers.await(requester);
        submissions.status(id, requester, awaitEnd);
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
        submissions.cancel(id, requester, nowNanos);
    }

    /**
     * Takes the result of a claim asked for by {@link EntryOutput#claim}.
     *
     * @param key the key that was claimed
     * @param proposed the id that was proposed
     * @param result the result
     * @param nowNanos the present time
     */
    public void claimed(String key, SubmissionId proposed, ClaimResult result, long nowNanos) {}

    /**
     * Takes a new link to an agent or entry, after both sides have said hello.
     *
     * @param peer the agent or entry
     * @param nowNanos the present time
     */
    public void linked(PeerAddress peer, long nowNanos) {
        if (peer.role() == Role.AGENT) {
            agentLinks.linked(peer, nowNanos);
        } else {
            roster.linked(peer.incarnation());
        }
    }

    /**
     * Takes the loss of a link.
     *
     * @param peer the agent or entry that was linked
     * @param nowNanos the present time
     */
    public void unlinked(Incarnation peer, long nowNanos) {
        agentLinks.unlinked(peer, nowNanos);
        roster.unlinked(peer);
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
        agents.forget(nowNanos);
    }

    /**
     * Refuses new submissions from now on; accepted ones and relayed questions go on.
     *
     * @param nowNanos the present time
     */
    public void drain(long nowNanos) {
        submissions.drain();
        scheduler.drain();
        Leaving leaving = new Leaving("draining");
        agents.all().stream()
                .filter(AgentState::linked)
                .forEach(agent -> context.output().send(agent.incarnation(), leaving));
        roster.linkedEntries().forEach(entry -> context.output().send(entry, leaving));
    }

    /**
     * Tells whether every accepted submission has ended and every caller is answered.
     *
     * @return true if nothing is left to do
     */
    public boolean idle() {
        return submissions.isEmpty() && answers.isEmpty();
    }
}
