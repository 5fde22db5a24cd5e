package org.knapweedmount.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
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
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
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
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/** Makes random messages of every type. */
final class RandomMessages {
    static final Incarnation SENDER = new Incarnation("entry-1", 7);
    static final Incarnation RECEIVER = new Incarnation("agent-1", -1);

    private final Random random;

    RandomMessages(Random random) {
        this.random = random;
    }

    Message next(MessageType type) {
        return switch (type) {
            case HELLO -> new Hello(number(), address());
            case HEARTBEAT -> new Heartbeat(longNumber());
            case LEAVING -> new Leaving(text());
            case PEERS -> new Peers(list(this::address));
            case ROSTER -> new Roster(incarnation(), number(), list(this::address));
            case CAPACITY -> new Capacity(text(), number(), resources());
            case DEMAND -> new Demand(text(), list(() -> new FlowDemand(flow(), number(), longNumber())));
            case GRANT -> grant();
            case RECALL -> new Recall(text(), number());
            case RELEASE -> new Release(text(), list(this::longNumber));
            case START -> new Start(longNumber(), longNumber(), task(), text(), text(), spec(), number(), longNumber());
            case FINISHED -> new Finished(task(), longNumber(), result(), optional(this::grant));
            case NOT_STARTED -> new NotStarted(task(), longNumber(), pick(Reason.values()));
            case RESUME -> new Resume(longNumber(), list(this::task));
            case RESUMED -> new Resumed(longNumber(), list(this::report));
            case CANCEL_TASKS -> new CancelTasks(submission());
            case SEAL -> new Seal(random.nextLong(), submission());
            case SEAL_BATCH -> new SealBatch(list(() -> new Seal(random.nextLong(), submission())));
            case SEALED -> sealed();
            case SEALED_BATCH -> new SealedBatch(list(this::sealed));
            case RELAY_REQUEST -> relayRequest();
            case RELAY_ANSWER -> new RelayAnswer(random.nextLong(), answer());
            case CONFIG_UPDATE -> new ConfigUpdate(list(this::ticket));
            case CONFIG_APPLIED -> new ConfigApplied(longNumber());
            case WORKER_REPORT -> workerReport();
            case ROOM_DEMAND -> demand();
            case ROOM_OFFER -> new ResourceOffer(longNumber(), resources());
            case RUN_ORDER ->
                new RunOrder(longNumber(), random.nextLong(), longNumber(), list(this::jobRuns), demand());
            case STOP_RUNS -> new StopRuns(list(this::run));
            case RUNS_ENDED -> new RunsEnded(list(this::end));
            case RUNS_HELD -> new ActiveRuns(list(this::run));
            case LEASE_RENEWAL -> new LeaseRenewal(random.nextLong());
            case QUEUE_UPDATE -> new QueueUpdate(longNumber(), list(this::queue));
            case JOBS_HELD -> new JobOwnershipUpdate(list(this::text), list(this::text));
            case YIELD_JOB -> new YieldJob(text());
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
                longNumber(),
                longNumber(),
                number());
    }

    private ResourceDemand demand() {
        return new ResourceDemand(number(), random.nextLong(), resources(), longNumber());
    }

    private RunRef run() {
        return new RunRef(text(), number());
    }

    private RunResult end() {
        return new RunResult(run(), pick(RunOutcome.values()), number(), text());
    }

    private JobRuns jobRuns() {
        return new JobRuns(text(), list(() -> new RunRequest(run(), resources(), number(), text())));
    }

    private WorkQueue queue() {
        return new WorkQueue(
                text(),
                text(),
                text(),
                text(),
                number(),
                number(),
                random.nextDouble(),
                number(),
                number(),
                random.nextBoolean());
    }

    private Sealed sealed() {
        return new Sealed(random.nextLong(), submission(), random.nextBoolean(), list(this::report));
    }

    private RelayRequest relayRequest() {
        return new RelayRequest(
                random.nextLong(),
                pick(RelayRequest.Operation.values()),
                submission(),
                optional(this::job),
                random.nextBoolean());
    }

    private JobAnswer answer() {
        Optional<Outcome> outcome = optional(() -> pick(Outcome.values()));
        boolean complete = outcome.equals(Optional.of(Outcome.COMPLETE));
        return new JobAnswer(
                optional(this::submission),
                outcome,
                pick(Reason.values()),
                text(),
                number(),
                complete ? List.of(result(), result()) : List.of(),
                outcome.equals(Optional.of(Outcome.FAILED)) ? list(this::failure) : List.of());
    }

    private TaskResult failure() {
        return new TaskResult(Outcome.FAILED, pick(Reason.values()), number(), text(), payload());
    }

    private Ticket ticket() {
        return new Ticket(1 + random.nextInt(1000), text(), list(this::configObject));
    }

    private ConfigObject configObject() {
        return switch (random.nextInt(5)) {
            case 0 -> new ServiceConfig(text(), text(), number(), random.nextDouble());
            case 1 ->
                new KindConfig(
                        text(),
                        text(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextDouble(),
                        number(),
                        number(),
                        resources());
            case 2 -> new TeamConfig(text(), random.nextDouble(), random.nextDouble());
            case 3 -> new DrainConfig(text());
            default -> new RemovedConfig(new ConfigKey(pick(ConfigType.values()), text()));
        };
    }

    private JobSpec job() {
        return new JobSpec(text(), random.nextBoolean(), List.of(spec(), spec()));
    }

    private TaskSpec spec() {
        return new TaskSpec(text(), text(), text(), text(), payload(), number(), resources());
    }

    private Grant grant() {
        return new Grant(text(), longNumber(), number(), pick(LeaseScope.values()), optional(this::flow), number());
    }

    private TaskReport report() {
        return new TaskReport(task(), pick(TaskState.values()), optional(this::result));
    }

    private TaskResult result() {
        return new TaskResult(pick(Outcome.values()), pick(Reason.values()), number(), text(), payload());
    }

    private Flow flow() {
        return new Flow(text(), text());
    }

    private Resources resources() {
        return new Resources(number(), number(), number());
    }

    private TaskId task() {
        return new TaskId(submission(), number());
    }

    private SubmissionId submission() {
        return new SubmissionId(incarnation(), 1 + longNumber() / 2, 1 + number() / 2);
    }

    private PeerAddress address() {
        return new PeerAddress(incarnation(), pick(Role.values()), text(), text(), text(), number());
    }

    private Incarnation incarnation() {
        return switch (random.nextInt(3)) {
            case 0 -> SENDER;
            case 1 -> RECEIVER;
            default -> new Incarnation("entry-" + number(), random.nextLong());
        };
    }

    private Payload payload() {
        byte[] bytes = new byte[random.nextInt(100)];
        random.nextBytes(bytes);
        return Payload.of(bytes);
    }

    private String text() {
        return random.nextInt(4) == 0 ? "lentille n° " + number() : "kind-" + random.nextInt(10);
    }

    private int number() {
        return random.nextInt(Integer.MAX_VALUE) >>> random.nextInt(31);
    }

    private long longNumber() {
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
