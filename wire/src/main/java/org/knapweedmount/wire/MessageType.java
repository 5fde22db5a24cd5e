package org.knapweedmount.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

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
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
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
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;

/** The message types, each with its number in frames, its number of fields and the functions that write and read it. */
enum MessageType {
    /** The first message on a link. */
    HELLO(1, 2, Hello.class, LinkMessages::writeHello, LinkMessages::readHello),
    /** A heartbeat. */
    HEARTBEAT(2, 1, Heartbeat.class, LinkMessages::writeHeartbeat, LinkMessages::readHeartbeat),
    /** The announcement that the sender is draining. */
    LEAVING(3, 1, Leaving.class, LinkMessages::writeLeaving, LinkMessages::readLeaving),
    /** The entries that the sender knows. */
    PEERS(4, 1, Peers.class, LinkMessages::writePeers, LinkMessages::readPeers),
    /** A version of a roster. */
    ROSTER(5, 3, Roster.class, LinkMessages::writeRoster, LinkMessages::readRoster),
    /** The capacity of an agent. */
    CAPACITY(6, 3, Capacity.class, LeaseMessages::writeCapacity, LeaseMessages::readCapacity),
    /** The queued tasks of an entry. */
    DEMAND(7, 2, Demand.class, LeaseMessages::writeDemand, LeaseMessages::readDemand),
    /** Leases granted to an entry. */
    GRANT(8, 6, Grant.class, LeaseMessages::writeGrant, LeaseMessages::readGrant),
    /** A request to release idle leases. */
    RECALL(9, 2, Recall.class, LeaseMessages::writeRecall, LeaseMessages::readRecall),
    /** The release of idle leases. */
    RELEASE(10, 2, Release.class, LeaseMessages::writeRelease, LeaseMessages::readRelease),
    /** A request to start a task. */
    START(11, 8, Start.class, TaskMessages::writeStart, TaskMessages::readStart),
    /** The result of a task. */
    FINISHED(12, 4, Finished.class, TaskMessages::writeFinished, TaskMessages::readFinished),
    /** The confirmation that a task was not started. */
    NOT_STARTED(13, 3, NotStarted.class, TaskMessages::writeNotStarted, TaskMessages::readNotStarted),
    /** A query for the state of tasks that were sent on a previous link. */
    RESUME(14, 2, Resume.class, TaskMessages::writeResume, TaskMessages::readResume),
    /** The answer to {@link #RESUME}. */
    RESUMED(15, 2, Resumed.class, TaskMessages::writeResumed, TaskMessages::readResumed),
    /** A request to stop the tasks of a submission. */
    CANCEL_TASKS(16, 1, CancelTasks.class, TaskMessages::writeCancelTasks, TaskMessages::readCancelTasks),
    /** A request to start no further tasks of a submission. */
    SEAL(17, 2, Seal.class, TaskMessages::writeSeal, TaskMessages::readSeal),
    /** The answer to {@link #SEAL}. */
    SEALED(18, 4, Sealed.class, TaskMessages::writeSealed, TaskMessages::readSealed),
    /** A forwarded request of a caller. */
    RELAY_REQUEST(19, 5, RelayRequest.class, RelayMessages::writeRequest, RelayMessages::readRequest),
    /** The answer to {@link #RELAY_REQUEST}. */
    RELAY_ANSWER(20, 2, RelayAnswer.class, RelayMessages::writeAnswer, RelayMessages::readAnswer),
    /** Accepted change tickets. */
    CONFIG_UPDATE(21, 1, ConfigUpdate.class, ConfigMessages::writeUpdate, ConfigMessages::readUpdate),
    /** The number of the last applied ticket. */
    CONFIG_APPLIED(22, 1, ConfigApplied.class, ConfigMessages::writeApplied, ConfigMessages::readApplied),
    /** Several seals. */
    SEAL_BATCH(23, 1, SealBatch.class, TaskMessages::writeSealBatch, TaskMessages::readSealBatch),
    /** Answers to {@link #SEAL_BATCH}. */
    SEALED_BATCH(24, 1, SealedBatch.class, TaskMessages::writeSealedBatch, TaskMessages::readSealedBatch),
    /** The resources of a worker. */
    WORKER_REPORT(25, 12, WorkerReport.class, WorkMessages::writeWorkerReport, WorkMessages::readWorkerReport),
    /** The queued tasks of an entry that wait for resources of a worker. */
    RESOURCE_DEMAND(26, 4, ResourceDemand.class, WorkMessages::writeResourceDemand, WorkMessages::readResourceDemand),
    /** An offer of a worker's resources. */
    RESOURCE_OFFER(27, 2, ResourceOffer.class, WorkMessages::writeResourceOffer, WorkMessages::readResourceOffer),
    /** An order to start runs. */
    RUN_ORDER(28, 5, RunOrder.class, WorkMessages::writeRunOrder, WorkMessages::readRunOrder),
    /** A request to stop runs. */
    STOP_RUNS(29, 1, StopRuns.class, WorkMessages::writeStopRuns, WorkMessages::readStopRuns),
    /** The results of runs. */
    RUNS_ENDED(30, 1, RunsEnded.class, WorkMessages::writeRunsEnded, WorkMessages::readRunsEnded),
    /** The active runs of an entry on a worker. */
    ACTIVE_RUNS(31, 1, ActiveRuns.class, WorkMessages::writeActiveRuns, WorkMessages::readActiveRuns),
    /** The renewal of the lease of runs. */
    LEASE_RENEWAL(32, 1, LeaseRenewal.class, WorkMessages::writeLeaseRenewal, WorkMessages::readLeaseRenewal),
    /** The configured queues. */
    QUEUE_UPDATE(33, 2, QueueUpdate.class, WorkMessages::writeQueueUpdate, WorkMessages::readQueueUpdate),
    /** The jobs that an entry has accepted or that have ended. */
    JOB_OWNERSHIP_UPDATE(
            34,
            2,
            JobOwnershipUpdate.class,
            WorkMessages::writeJobOwnershipUpdate,
            WorkMessages::readJobOwnershipUpdate),
    /** A request to stop a job that the sender has also received. */
    YIELD_JOB(35, 1, YieldJob.class, WorkMessages::writeYieldJob, WorkMessages::readYieldJob),
    /** The entries that an agent serves. */
    LINKED_ENTRIES(36, 2, LinkedEntries.class, WorkMessages::writeLinkedEntries, WorkMessages::readLinkedEntries),
    /** A request to stop a job, passed on by an agent. */
    RELAYED_YIELD(37, 3, RelayedYield.class, WorkMessages::writeRelayedYield, WorkMessages::readRelayedYield),
    /** The answer to {@link #RELAYED_YIELD}. */
    RELAYED_END(38, 3, RelayedEnd.class, WorkMessages::writeRelayedEnd, WorkMessages::readRelayedEnd),
    /** The cancellation of a job by its caller. */
    CANCEL_JOB(39, 1, CancelJob.class, WorkMessages::writeCancelJob, WorkMessages::readCancelJob),
    /** The answer to {@link #CANCEL_JOB}. */
    CANCEL_REPLY(40, 2, CancelReply.class, WorkMessages::writeCancelReply, WorkMessages::readCancelReply),
    /** A question for how recent the knowledge of an entry's jobs is. */
    OWNERSHIP_PROBE(41, 1, OwnershipProbe.class, WorkMessages::writeOwnershipProbe, WorkMessages::readOwnershipProbe),
    /** The answer to {@link #OWNERSHIP_PROBE}. */
    OWNERSHIP_PROBE_REPLY(
            42,
            1,
            OwnershipProbeReply.class,
            WorkMessages::writeOwnershipProbeReply,
            WorkMessages::readOwnershipProbeReply),
    /** The data centres that the operator has closed. */
    CLOSED_DATA_CENTRES(
            43,
            2,
            ClosedDataCentres.class,
            EvacuationMessages::writeClosedDataCentres,
            EvacuationMessages::readClosedDataCentres),
    /** Whether the data centre of the receiver is closed. */
    EVACUATION_NOTICE(44, 2, EvacuationNotice.class, EvacuationMessages::writeNotice, EvacuationMessages::readNotice),
    /** Whether the sending entry admits jobs. */
    ENTRY_ADMISSION(45, 1, EntryAdmission.class, LinkMessages::writeEntryAdmission, LinkMessages::readEntryAdmission);

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

    /** Stateless, because it refers to a static method. */
    @SuppressWarnings("ImmutableEnumChecker")
    private final FieldWriter.Format<Message> writer;

    /** Stateless, because it refers to a static method. */
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
            throw new FrameException("unknown message type " + number);
        }
        if (type.fields != fields) {
            throw new FrameException(type + " message has " + fields + " fields, expected " + type.fields);
        }
        return type.reader.read(in);
    }

    /** Returns the number of this type in frames. */
    int number() {
        return number;
    }

    /** Returns the class of the messages of this type. */
    Class<? extends Message> messageClass() {
        return messageClass;
    }
}
