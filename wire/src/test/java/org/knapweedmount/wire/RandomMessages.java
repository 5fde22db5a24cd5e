package org.knapweedmount.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.CancelJob;
import org.knapweedmount.api.message.CancelReply;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.EntryAdmission;
import org.knapweedmount.api.message.EvacuationNotice;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Roster;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/** Generates random messages of every type. */
final class RandomMessages {
    static final Incarnation SENDER = new Incarnation("entry-1", 7);
    static final Incarnation RECEIVER = new Incarnation("agent-1", -1);

    private final Random random;

    RandomMessages(Random random) {
        this.random = random;
    }

    Message next(MessageType type) {
        return switch (type) {
            case HELLO -> new Hello(nonNegativeInt(), peerAddress());
            case HEARTBEAT -> new Heartbeat(nonNegativeLong());
            case LEAVING -> new Leaving(text());
            case PEERS -> new Peers(list(this::peerAddress));
            case ROSTER -> new Roster(incarnation(), nonNegativeInt(), list(this::peerAddress));
            case CAPACITY -> new Capacity(text(), nonNegativeInt(), resources());
            case DEMAND -> new Demand(text(), list(() -> new FlowDemand(flow(), nonNegativeInt(), nonNegativeLong())));
            case GRANT -> grant();
            case RECALL -> new Recall(text(), nonNegativeInt());
            case RELEASE -> new Release(text(), list(this::nonNegativeLong));
            case START ->
                new Start(
                        nonNegativeLong(),
                        nonNegativeLong(),
                        taskId(),
                        text(),
                        text(),
                        taskSpec(),
                        nonNegativeInt(),
                        nonNegativeLong());
            case FINISHED -> new Finished(taskId(), nonNegativeLong(), taskResult(), optional(this::grant));
            case NOT_STARTED -> new NotStarted(taskId(), nonNegativeLong(), pick(Reason.values()));
            case RESUME -> new Resume(nonNegativeLong(), list(this::taskId));
            case RESUMED -> new Resumed(nonNegativeLong(), list(this::taskReport));
            case CANCEL_TASKS -> new CancelTasks(submissionId());
            case SEAL -> new Seal(random.nextLong(), submissionId());
            case SEAL_BATCH -> new SealBatch(list(() -> new Seal(random.nextLong(), submissionId())));
            case SEALED -> sealed();
            case SEALED_BATCH -> new SealedBatch(list(this::sealed));
            case RELAY_REQUEST -> relayRequest();
            case RELAY_ANSWER -> new RelayAnswer(random.nextLong(), jobAnswer());
            case CONFIG_UPDATE -> new ConfigUpdate(list(this::ticket));
            case CONFIG_APPLIED -> new ConfigApplied(nonNegativeLong());
            case WORKER_REPORT -> workerReport();
            case RESOURCE_DEMAND -> resourceDemand();
            case RESOURCE_OFFER -> new ResourceOffer(nonNegativeLong(), resources());
            case RUN_ORDER ->
                new RunOrder(
                        nonNegativeLong(), random.nextLong(), nonNegativeLong(), list(this::jobRuns), resourceDemand());
            case STOP_RUNS -> new StopRuns(list(this::runRef));
            case RUNS_ENDED -> new RunsEnded(list(this::runResult));
            case ACTIVE_RUNS -> new ActiveRuns(list(this::runRef));
            case LEASE_RENEWAL -> new LeaseRenewal(random.nextLong());
            case QUEUE_UPDATE -> new QueueUpdate(nonNegativeLong(), list(this::workQueue));
            case JOB_OWNERSHIP_UPDATE ->
                new JobOwnershipUpdate(list(() -> new JobClaim(text(), nonNegativeLong())), list(this::text));
            case YIELD_JOB -> new YieldJob(text());
            case CANCEL_JOB -> new CancelJob(text());
            case CANCEL_REPLY -> new CancelReply(text(), random.nextBoolean());
            case LINKED_ENTRIES -> new LinkedEntries(list(this::incarnation), list(this::incarnation));
            case OWNERSHIP_PROBE -> new OwnershipProbe(nonNegativeLong());
            case OWNERSHIP_PROBE_REPLY -> new OwnershipProbeReply(nonNegativeLong());
            case RELAYED_YIELD -> new RelayedYield(incarnation(), list(this::text), nonNegativeLong());
            case ENTRY_ADMISSION -> new EntryAdmission(random.nextBoolean());
            case RELAYED_END -> new RelayedEnd(incarnation(), list(this::text), nonNegativeLong());
            case CLOSED_DATA_CENTRES -> new ClosedDataCentres(nonNegativeLong(), Set.copyOf(list(this::text)));
            case EVACUATION_NOTICE -> new EvacuationNotice(nonNegativeLong(), random.nextBoolean());
        };
    }

    private WorkerReport workerReport() {
        return new WorkerReport(
                random.nextLong(),
                text(),
                text(),
                list(this::text),
                resources(),
                resources(),
                random.nextBoolean(),
                nonNegativeLong(),
                nonNegativeLong(),
                nonNegativeInt(),
                random.nextBoolean(),
                workerCondition());
    }

    private WorkerCondition workerCondition() {
        return new WorkerCondition(
                pick(WorkerCondition.Availability.values()),
                nonNegativeInt(),
                list(() -> new KindInterference(text(), text(), nonNegativeInt(), nonNegativeInt())));
    }

    private ResourceDemand resourceDemand() {
        return new ResourceDemand(nonNegativeInt(), random.nextLong(), resources(), nonNegativeLong());
    }

    private RunRef runRef() {
        return new RunRef(text(), nonNegativeInt());
    }

    private RunResult runResult() {
        return new RunResult(runRef(), pick(RunOutcome.values()), nonNegativeInt(), text());
    }

    private JobRuns jobRuns() {
        return new JobRuns(text(), list(() -> new RunRequest(runRef(), resources(), nonNegativeInt(), text())));
    }

    private WorkQueue workQueue() {
        return new WorkQueue(
                text(),
                text(),
                text(),
                text(),
                nonNegativeInt(),
                nonNegativeInt(),
                random.nextDouble(),
                nonNegativeInt(),
                nonNegativeInt(),
                random.nextBoolean());
    }

    private Sealed sealed() {
        return new Sealed(random.nextLong(), submissionId(), random.nextBoolean(), list(this::taskReport));
    }

    private RelayRequest relayRequest() {
        return new RelayRequest(
                random.nextLong(),
                pick(RelayRequest.Operation.values()),
                submissionId(),
                optional(this::jobSpec),
                random.nextBoolean());
    }

    private JobAnswer jobAnswer() {
        Optional<Outcome> outcome = optional(() -> pick(Outcome.values()));
        boolean complete = outcome.equals(Optional.of(Outcome.COMPLETE));
        return new JobAnswer(
                optional(this::submissionId),
                outcome,
                pick(Reason.values()),
                text(),
                nonNegativeInt(),
                complete ? List.of(taskResult(), taskResult()) : List.of(),
                outcome.equals(Optional.of(Outcome.FAILED)) ? list(this::failedResult) : List.of());
    }

    private TaskResult failedResult() {
        return new TaskResult(Outcome.FAILED, pick(Reason.values()), nonNegativeInt(), text(), payload());
    }

    private Ticket ticket() {
        return new Ticket(1 + random.nextInt(1000), text(), list(this::configObject));
    }

    private ConfigObject configObject() {
        return switch (random.nextInt(5)) {
            case 0 -> new ServiceConfig(text(), text(), nonNegativeInt(), random.nextDouble());
            case 1 ->
                new KindConfig(
                        text(),
                        text(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextDouble(),
                        nonNegativeInt(),
                        nonNegativeInt(),
                        resources());
            case 2 -> new TeamConfig(text(), random.nextDouble(), random.nextDouble());
            case 3 -> new DrainConfig(text());
            default -> new RemovedConfig(new ConfigKey(pick(ConfigType.values()), text()));
        };
    }

    private JobSpec jobSpec() {
        return new JobSpec(text(), random.nextBoolean(), List.of(taskSpec(), taskSpec()));
    }

    private TaskSpec taskSpec() {
        return new TaskSpec(text(), text(), text(), text(), payload(), nonNegativeInt(), resources());
    }

    private Grant grant() {
        return new Grant(
                text(),
                nonNegativeLong(),
                nonNegativeInt(),
                pick(LeaseScope.values()),
                optional(this::flow),
                nonNegativeInt());
    }

    private TaskReport taskReport() {
        return new TaskReport(taskId(), pick(TaskState.values()), optional(this::taskResult));
    }

    private TaskResult taskResult() {
        return new TaskResult(pick(Outcome.values()), pick(Reason.values()), nonNegativeInt(), text(), payload());
    }

    private Flow flow() {
        return new Flow(text(), text());
    }

    private Resources resources() {
        return new Resources(nonNegativeInt(), nonNegativeInt(), nonNegativeInt());
    }

    private TaskId taskId() {
        return new TaskId(submissionId(), nonNegativeInt());
    }

    private SubmissionId submissionId() {
        return new SubmissionId(incarnation(), 1 + nonNegativeLong() / 2, 1 + nonNegativeInt() / 2);
    }

    private PeerAddress peerAddress() {
        return new PeerAddress(incarnation(), pick(Role.values()), text(), text(), text(), nonNegativeInt());
    }

    private Incarnation incarnation() {
        return switch (random.nextInt(3)) {
            case 0 -> SENDER;
            case 1 -> RECEIVER;
            default -> new Incarnation("entry-" + nonNegativeInt(), random.nextLong());
        };
    }

    private Payload payload() {
        byte[] bytes = new byte[random.nextInt(100)];
        random.nextBytes(bytes);
        return Payload.of(bytes);
    }

    private String text() {
        return random.nextInt(4) == 0 ? "lentille n° " + nonNegativeInt() : "kind-" + random.nextInt(10);
    }

    private int nonNegativeInt() {
        return random.nextInt(Integer.MAX_VALUE) >>> random.nextInt(31);
    }

    private long nonNegativeLong() {
        return random.nextLong() >>> (1 + random.nextInt(62));
    }

    private <T> T pick(T[] values) {
        return values[random.nextInt(values.length)];
    }

    private <T> Optional<T> optional(Supplier<T> value) {
        return random.nextBoolean() ? Optional.of(value.get()) : Optional.empty();
    }

    private <T> List<T> list(Supplier<T> item) {
        List<T> items = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            items.add(item.get());
        }
        return items;
    }
}
