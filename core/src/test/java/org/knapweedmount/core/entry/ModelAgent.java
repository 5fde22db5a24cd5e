package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

/** A model of an agent that follows the protocol, but denies starts, fails tasks and discards records at random. */
final class ModelAgent {
    private static final List<Reason> DENIAL_REASONS =
            List.of(Reason.LEASE_LAPSED, Reason.LEASE_LAPSED, Reason.OVER_QUOTA, Reason.ENDPOINT_UNREACHABLE);

    final PeerAddress address;
    final Map<TaskId, Incarnation> running = new LinkedHashMap<>();
    private final Random random;
    private final Map<TaskId, Integer> executions;
    private final Map<TaskId, String> kinds;
    private final Map<TaskId, TaskResult> finished = new HashMap<>();
    private final Set<SubmissionId> sealed = new HashSet<>();
    private final Set<SubmissionId> discardedIds = new HashSet<>();
    private final Map<Incarnation, Long> lastSequences = new HashMap<>();

    ModelAgent(PeerAddress address, Random random, Map<TaskId, Integer> executions, Map<TaskId, String> kinds) {
        this.address = address;
        this.random = random;
        this.executions = executions;
        this.kinds = kinds;
    }

    /** Handles a message and returns the reply, if any. */
    Optional<Message> receive(Incarnation entry, Message message) {
        if (message instanceof Start start) {
            return start(entry, start);
        }
        if (message instanceof Resume resume) {
            lastSequences.merge(entry, resume.lastSequence(), Math::max);
            return Optional.of(new Resumed(
                    resume.lastSequence(),
                    resume.tasks().stream().map(this::report).toList()));
        }
        if (message instanceof Seal seal) {
            return Optional.of(seal(seal));
        }
        if (message instanceof SealBatch batch) {
            return Optional.of(
                    new SealedBatch(batch.seals().stream().map(this::seal).toList()));
        }
        return Optional.empty();
    }

    private Optional<Message> start(Incarnation entry, Start start) {
        TaskId task = start.task();
        if (start.sequence() <= lastSequences.getOrDefault(entry, 0L)) {
            return Optional.empty();
        }
        lastSequences.put(entry, start.sequence());
        if (sealed.contains(task.submission())) {
            return Optional.of(new NotStarted(task, start.sequence(), Reason.SEALED));
        }
        if (random.nextInt(5) == 0) {
            return Optional.of(
                    new NotStarted(task, start.sequence(), DENIAL_REASONS.get(random.nextInt(DENIAL_REASONS.size()))));
        }
        if (running.containsKey(task) || finished.containsKey(task)) {
            throw new AssertionError(task + " was started twice at one agent");
        }
        executions.merge(task, 1, Integer::sum);
        kinds.put(task, start.spec().kind());
        running.put(task, entry);
        return Optional.empty();
    }

    /** Ends a running task and returns the message to its entry. */
    Finished finish(TaskId task) {
        running.remove(task);
        TaskResult result = result(task);
        finished.put(task, result);
        return new Finished(task, 1_000L * random.nextInt(200), result, Optional.empty());
    }

    private TaskResult result(TaskId task) {
        return switch (random.nextInt(8)) {
            case 0 -> EntryFixture.failed(500);
            case 1 -> EntryFixture.failed(404);
            case 2 -> TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST);
            default -> EntryFixture.complete(task.toString());
        };
    }

    /** Discards the records of the tasks that have finished. */
    void discardRecords() {
        for (TaskId task : new ArrayList<>(finished.keySet())) {
            finished.remove(task);
            discardedIds.add(task.submission());
        }
    }

    private TaskReport report(TaskId task) {
        if (running.containsKey(task)) {
            return new TaskReport(task, TaskState.RUNNING, Optional.empty());
        }
        if (finished.containsKey(task)) {
            return new TaskReport(task, TaskState.FINISHED, Optional.of(finished.get(task)));
        }
        boolean discarded = discardedIds.contains(task.submission());
        return new TaskReport(task, discarded ? TaskState.FORGOTTEN : TaskState.NOT_STARTED, Optional.empty());
    }

    private Sealed seal(Seal seal) {
        SubmissionId id = seal.submission();
        boolean recorded = sealed.contains(id) || random.nextInt(10) > 0;
        if (recorded) {
            sealed.add(id);
        }
        List<TaskReport> reports = new ArrayList<>();
        for (Set<TaskId> tasks : List.of(running.keySet(), finished.keySet())) {
            tasks.stream().filter(task -> task.submission().equals(id)).forEach(task -> reports.add(report(task)));
        }
        return new Sealed(seal.request(), id, recorded && !discardedIds.contains(id), reports);
    }
}
