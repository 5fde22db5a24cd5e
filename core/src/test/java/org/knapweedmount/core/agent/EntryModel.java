package org.knapweedmount.core.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

/** A model of an entry that follows the protocol with one agent. */
final class EntryModel {
    final Incarnation id;
    final Deque<Message> toAgent = new ArrayDeque<>();
    final Deque<Message> fromAgent = new ArrayDeque<>();
    final List<Start> sent = new ArrayList<>();
    final List<SubmissionId> submissions = new ArrayList<>();
    boolean linked;
    boolean paused;

    private final Map<TaskId, Flow> queued = new LinkedHashMap<>();
    private final Map<TaskId, Flow> outstanding = new LinkedHashMap<>();
    private final Map<Long, Grant> leases = new LinkedHashMap<>();
    private Set<Flow> demanded = new HashSet<>();
    private long sequence;

    EntryModel(Incarnation id) {
        this.id = id;
    }

    void submit(Flow flow, int tasks) {
        SubmissionId submission = new SubmissionId(id, submissions.size() + 1, 1);
        submissions.add(submission);
        for (int i = 0; i < tasks; i++) {
            queued.put(submission.task(i), flow);
        }
        sendStartsAndDemand();
    }

    /** Pauses the entry, so that it neither reads nor sends, or resumes it. */
    void setPaused(boolean value) {
        paused = value;
    }

    boolean idle() {
        return queued.isEmpty() && outstanding.isEmpty();
    }

    void linked() {
        linked = true;
        toAgent.add(new Resume(sequence, List.copyOf(outstanding.keySet())));
        sendStartsAndDemand();
    }

    void unlinked() {
        linked = false;
        leases.clear();
        demanded = new HashSet<>();
        toAgent.clear();
        fromAgent.clear();
    }

    /** Handles the messages that have arrived. */
    void processMessages() {
        while (!fromAgent.isEmpty()) {
            handle(fromAgent.remove());
        }
        sendStartsAndDemand();
    }

    private void handle(Message message) {
        if (message instanceof Grant grant) {
            granted(grant);
        } else if (message instanceof Finished finished) {
            outstanding.remove(finished.task());
            finished.next().ifPresent(this::granted);
        } else if (message instanceof NotStarted refused) {
            notStarted(refused.task(), refused.reason());
        } else if (message instanceof Recall recall) {
            release(recall);
        } else if (message instanceof Resumed resumed) {
            resumed.tasks().forEach(this::resumed);
        }
    }

    private void granted(Grant grant) {
        AgentFixture.numbers(grant).forEach(lease -> leases.put(lease, grant));
    }

    private void notStarted(TaskId task, Reason reason) {
        Flow flow = outstanding.remove(task);
        if (flow != null && reason != Reason.SEALED) {
            queued.put(task, flow);
        }
    }

    private void resumed(TaskReport report) {
        if (report.state() == TaskState.NOT_STARTED) {
            notStarted(report.task(), Reason.NONE);
        } else if (report.state() != TaskState.RUNNING) {
            outstanding.remove(report.task());
        }
    }

    private void release(Recall recall) {
        List<Long> released = leases.keySet().stream().limit(recall.count()).toList();
        leases.keySet().removeAll(released);
        toAgent.add(new Release(recall.service(), released));
    }

    /** Starts tasks under matching leases, and sends the demand if the set of queued flows has changed. */
    private void sendStartsAndDemand() {
        if (!linked) {
            return;
        }
        Iterator<Map.Entry<Long, Grant>> iterator = leases.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Long, Grant> lease = iterator.next();
            Optional<TaskId> task = taskFor(lease.getValue());
            if (task.isPresent()) {
                iterator.remove();
                start(lease.getKey(), task.get());
            }
        }
        Set<Flow> waiting = new HashSet<>(queued.values());
        if (!waiting.equals(demanded)) {
            demanded = waiting;
            List<FlowDemand> demands = waiting.stream()
                    .map(flow -> new FlowDemand(flow, count(flow), 0))
                    .toList();
            toAgent.add(new Demand(AgentFixture.SERVICE, demands));
        }
    }

    private Optional<TaskId> taskFor(Grant grant) {
        return queued.entrySet().stream()
                .filter(task ->
                        grant.scope() == LeaseScope.ANY || task.getValue().equals(AgentFixture.BALANCE))
                .filter(task -> grant.flow().isEmpty() || grant.flow().get().equals(task.getValue()))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void start(long lease, TaskId task) {
        Flow flow = queued.remove(task);
        outstanding.put(task, flow);
        Start start = new Start(
                ++sequence,
                lease,
                task,
                AgentFixture.SERVICE,
                flow.team(),
                AgentFixture.spec(flow.kind()),
                count(flow),
                0);
        sent.add(start);
        toAgent.add(start);
    }

    private int count(Flow flow) {
        return (int) queued.values().stream().filter(flow::equals).count();
    }

    @Override
    public String toString() {
        return id + " queued " + queued.keySet() + " outstanding " + outstanding.keySet() + " leases " + leases;
    }
}
