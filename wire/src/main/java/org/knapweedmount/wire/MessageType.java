package org.knapweedmount.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
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
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;

/** The types of messages with the number, the fields and the format of each. */
enum MessageType {
    /** The first message of a link. */
    HELLO(1, 2, Hello.class, LinkMessages::writeHello, LinkMessages::readHello),
    /** A sign of life. */
    HEARTBEAT(2, 1, Heartbeat.class, LinkMessages::writeHeartbeat, LinkMessages::readHeartbeat),
    /** A planned stop. */
    LEAVING(3, 1, Leaving.class, LinkMessages::writeLeaving, LinkMessages::readLeaving),
    /** The known entries. */
    PEERS(4, 1, Peers.class, LinkMessages::writePeers, LinkMessages::readPeers),
    /** A version of a roster. */
    ROSTER(5, 3, Roster.class, LinkMessages::writeRoster, LinkMessages::readRoster),
    /** The slots of an agent. */
    CAPACITY(6, 3, Capacity.class, LeaseMessages::writeCapacity, LeaseMessages::readCapacity),
    /** The queued tasks of an entry. */
    DEMAND(7, 2, Demand.class, LeaseMessages::writeDemand, LeaseMessages::readDemand),
    /** Leases for an entry. */
    GRANT(8, 6, Grant.class, LeaseMessages::writeGrant, LeaseMessages::readGrant),
    /** A wish to have leases back. */
    RECALL(9, 2, Recall.class, LeaseMessages::writeRecall, LeaseMessages::readRecall),
    /** Leases given back. */
    RELEASE(10, 2, Release.class, LeaseMessages::writeRelease, LeaseMessages::readRelease),
    /** The start of a task. */
    START(11, 8, Start.class, TaskMessages::writeStart, TaskMessages::readStart),
    /** The end of a task. */
    FINISHED(12, 4, Finished.class, TaskMessages::writeFinished, TaskMessages::readFinished),
    /** The refusal of a start. */
    NOT_STARTED(13, 3, NotStarted.class, TaskMessages::writeNotStarted, TaskMessages::readNotStarted),
    /** The question for tasks of an earlier link. */
    RESUME(14, 2, Resume.class, TaskMessages::writeResume, TaskMessages::readResume),
    /** The answer about tasks of an earlier link. */
    RESUMED(15, 2, Resumed.class, TaskMessages::writeResumed, TaskMessages::readResumed),
    /** A cancellation. */
    CANCEL_TASKS(16, 1, CancelTasks.class, TaskMessages::writeCancelTasks, TaskMessages::readCancelTasks),
    /** The settlement of a submission. */
    SEAL(17, 2, Seal.class, TaskMessages::writeSeal, TaskMessages::readSeal),
    /** The answer to a seal. */
    SEALED(18, 4, Sealed.class, TaskMessages::writeSealed, TaskMessages::readSealed),
    /** A caller's request passed on. */
    RELAY_REQUEST(19, 5, RelayRequest.class, RelayMessages::writeRequest, RelayMessages::readRequest),
    /** The answer to a request passed on. */
    RELAY_ANSWER(20, 2, RelayAnswer.class, RelayMessages::writeAnswer, RelayMessages::readAnswer),
    /** Accepted change tickets. */
    CONFIG_UPDATE(21, 1, ConfigUpdate.class, ConfigMessages::writeUpdate, ConfigMessages::readUpdate),
    /** The highest ticket applied. */
    CONFIG_APPLIED(22, 1, ConfigApplied.class, ConfigMessages::writeApplied, ConfigMessages::readApplied),
    /** Settlements of several submissions. */
    SEAL_BATCH(23, 1, SealBatch.class, TaskMessages::writeSealBatch, TaskMessages::readSealBatch),
    /** Answers to several seals. */
    SEALED_BATCH(24, 1, SealedBatch.class, TaskMessages::writeSealedBatch, TaskMessages::readSealedBatch),
    /** The room of a worker. */
    WORKER_REPORT(25, 10, WorkerReport.class, WorkMessages::writeWorkerReport, WorkMessages::readWorkerReport),
    /** The queued tasks of an entry that wait for room. */
    RESOURCE_DEMAND(26, 4, ResourceDemand.class, WorkMessages::writeResourceDemand, WorkMessages::readResourceDemand),
    /** Room for an entry. */
    RESOURCE_OFFER(27, 2, ResourceOffer.class, WorkMessages::writeResourceOffer, WorkMessages::readResourceOffer),
    /** Runs to start. */
    RUN_ORDER(28, 5, RunOrder.class, WorkMessages::writeRunOrder, WorkMessages::readRunOrder),
    /** Runs to stop. */
    STOP_RUNS(29, 1, StopRuns.class, WorkMessages::writeStopRuns, WorkMessages::readStopRuns),
    /** Ends of runs. */
    RUNS_ENDED(30, 1, RunsEnded.class, WorkMessages::writeRunsEnded, WorkMessages::readRunsEnded),
    /** The runs that a worker holds. */
    ACTIVE_RUNS(31, 1, ActiveRuns.class, WorkMessages::writeActiveRuns, WorkMessages::readActiveRuns),
    /** The renewal of a lease. */
    LEASE_RENEWAL(32, 1, LeaseRenewal.class, WorkMessages::writeLeaseRenewal, WorkMessages::readLeaseRenewal),
    /** The queues of callers. */
    QUEUE_UPDATE(33, 2, QueueUpdate.class, WorkMessages::writeQueueUpdate, WorkMessages::readQueueUpdate),
    /** The jobs of an entry. */
    JOB_OWNERSHIP_UPDATE(
            34,
            2,
            JobOwnershipUpdate.class,
            WorkMessages::writeJobOwnershipUpdate,
            WorkMessages::readJobOwnershipUpdate),
    /** The wish that an entry gives a job up. */
    YIELD_JOB(35, 1, YieldJob.class, WorkMessages::writeYieldJob, WorkMessages::readYieldJob);

    private static final Map<Class<? extends Message>, MessageType> BY_CLASS = new HashMap<>();
    private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();

    static {
        for (MessageType type : values()) {
            BY_CLASS.put(type.messageClass, type);
            BY_NUMBER.put(type.number, type);
        }
    }

    private final int number;
    private final int fields;
    private final Class<? extends Message> messageClass;

    /** A reference to a static method, which has no state. */
    @SuppressWarnings("ImmutableEnumChecker")
    private final FieldWriter.Format<Message> writer;

    /** A reference to a static method, which has no state. */
    @SuppressWarnings("ImmutableEnumChecker")
    private final FieldReader.Format<? extends Message> reader;

    <M extends Message> MessageType(
            int number, int fields, Class<M> messageClass, FieldWriter.Format<M> writer, FieldReader.Format<M> reader) {
        this.number = number;
        this.fields = fields;
        this.messageClass = messageClass;
        this.writer = (out, message) -> writer.write(out, messageClass.cast(message));
        this.reader = reader;
    }

    static MessageType of(Message message) {
        return BY_CLASS.get(message.getClass());
    }

    static void write(FieldWriter out, Message message) throws IOException, FrameException {
        MessageType type = of(message);
        out.arrayHeader(1 + type.fields).number(type.number);
        type.writer.write(out, message);
    }

    static Message read(FieldReader in) throws IOException, FrameException {
        int fields = in.arrayHeader() - 1;
        int number = in.nonNegativeInt();
        MessageType type = BY_NUMBER.get(number);
        if (type == null) {
            throw new FrameException("there is no message type " + number);
        }
        if (type.fields != fields) {
            throw new FrameException(type + " with " + fields + " fields, expected " + type.fields);
        }
        return type.reader.read(in);
    }

    /** Returns the number that stands for this type in frames. */
    int number() {
        return number;
    }

    /** Returns the class of the messages of this type. */
    Class<? extends Message> messageClass() {
        return messageClass;
    }
}
