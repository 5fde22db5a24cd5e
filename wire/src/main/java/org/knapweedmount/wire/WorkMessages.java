package org.knapweedmount.wire;

import java.io.IOException;
import java.util.List;

import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.CancelJob;
import org.knapweedmount.api.message.CancelReply;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/** Reads and writes the fields of messages about jobs on workers. */
final class WorkMessages {
    private WorkMessages() {}

    static void writeWorkerReport(FieldWriter out, WorkerReport report) throws IOException, FrameException {
        out.number(report.timestampNanos())
                .name(report.service())
                .name(report.worker())
                .list(report.labels(), FieldWriter::name)
                .value(report.capacity(), ValueFormats::writeResources)
                .value(report.free(), ValueFormats::writeResources)
                .flag(report.acceptsStarts())
                .number(report.lastOrderNumber())
                .number(report.otherBacklogCoreMillis())
                .number(report.slowdownPercent())
                .flag(report.prompt())
                .value(report.condition(), WorkMessages::writeCondition);
    }

    private static void writeCondition(FieldWriter out, WorkerCondition condition) throws IOException, FrameException {
        out.arrayHeader(3)
                .constant(EnumFormat.AVAILABILITY, condition.availability())
                .number(condition.coldMillis())
                .list(condition.interference(), WorkMessages::writeInterference);
    }

    private static WorkerCondition readCondition(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new WorkerCondition(
                in.constant(EnumFormat.AVAILABILITY), in.nonNegativeInt(), in.list(WorkMessages::readInterference));
    }

    private static void writeInterference(FieldWriter out, KindInterference interference)
            throws IOException, FrameException {
        out.arrayHeader(6)
                .name(interference.kind())
                .name(interference.neighbour())
                .number(interference.slowdownPercent())
                .number(interference.samples())
                .number(interference.kindRuns())
                .number(interference.neighbourRuns());
    }

    private static KindInterference readInterference(FieldReader in) throws IOException, FrameException {
        in.expectArray(6);
        return new KindInterference(
                in.name(),
                in.name(),
                in.nonNegativeInt(),
                in.nonNegativeInt(),
                in.nonNegativeInt(),
                in.nonNegativeInt());
    }

    static WorkerReport readWorkerReport(FieldReader in) throws IOException, FrameException {
        return new WorkerReport(
                in.anyLong(),
                in.name(),
                in.name(),
                in.list(FieldReader::name),
                ValueFormats.readResources(in),
                ValueFormats.readResources(in),
                in.flag(),
                in.nonNegativeLong(),
                in.nonNegativeLong(),
                in.nonNegativeInt(),
                in.flag(),
                readCondition(in));
    }

    static void writeResourceDemand(FieldWriter out, ResourceDemand demand) throws IOException, FrameException {
        out.number(demand.queuedTasks())
                .number(demand.virtualDeadlineMicros())
                .value(demand.smallestTask(), ValueFormats::writeResources)
                .number(demand.backlogCoreMillis());
    }

    static ResourceDemand readResourceDemand(FieldReader in) throws IOException, FrameException {
        return new ResourceDemand(
                in.nonNegativeInt(), in.anyLong(), ValueFormats.readResources(in), in.nonNegativeLong());
    }

    static void writeResourceOffer(FieldWriter out, ResourceOffer offer) throws IOException, FrameException {
        out.number(offer.number()).value(offer.resources(), ValueFormats::writeResources);
    }

    static ResourceOffer readResourceOffer(FieldReader in) throws IOException, FrameException {
        return new ResourceOffer(in.nonNegativeLong(), ValueFormats.readResources(in));
    }

    static void writeRunOrder(FieldWriter out, RunOrder order) throws IOException, FrameException {
        out.number(order.number())
                .number(order.timestampNanos())
                .number(order.offer())
                .list(order.jobs(), WorkMessages::writeJobRuns);
        writeResourceDemand(out.arrayHeader(4), order.demand());
    }

    static RunOrder readRunOrder(FieldReader in) throws IOException, FrameException {
        long number = in.nonNegativeLong();
        long timestampNanos = in.anyLong();
        long offer = in.nonNegativeLong();
        List<JobRuns> jobs = in.list(WorkMessages::readJobRuns);
        in.expectArray(4);
        return new RunOrder(number, timestampNanos, offer, jobs, readResourceDemand(in));
    }

    private static void writeJobRuns(FieldWriter out, JobRuns job) throws IOException, FrameException {
        out.arrayHeader(3).name(job.queue()).text(job.spec()).list(job.runs(), WorkMessages::writeRunRequest);
    }

    private static JobRuns readJobRuns(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new JobRuns(in.name(), in.text(), in.list(WorkMessages::readRunRequest));
    }

    private static void writeRunRequest(FieldWriter out, RunRequest request) throws IOException, FrameException {
        writeRunRef(out.arrayHeader(4), request.ref());
        out.value(request.resources(), ValueFormats::writeResources)
                .number(request.expectedMillis())
                .text(request.checkpoint());
    }

    private static RunRequest readRunRequest(FieldReader in) throws IOException, FrameException {
        in.expectArray(4);
        return new RunRequest(readRunRef(in), ValueFormats.readResources(in), in.nonNegativeInt(), in.text());
    }

    private static void writeRunRef(FieldWriter out, RunRef ref) throws IOException, FrameException {
        out.arrayHeader(2).name(ref.task()).number(ref.run());
    }

    private static RunRef readRunRef(FieldReader in) throws IOException, FrameException {
        in.expectArray(2);
        return new RunRef(in.name(), in.nonNegativeInt());
    }

    static void writeStopRuns(FieldWriter out, StopRuns stop) throws IOException, FrameException {
        out.list(stop.runs(), WorkMessages::writeRunRef);
    }

    static StopRuns readStopRuns(FieldReader in) throws IOException, FrameException {
        return new StopRuns(in.list(WorkMessages::readRunRef));
    }

    static void writeRunsEnded(FieldWriter out, RunsEnded ended) throws IOException, FrameException {
        out.list(ended.results(), WorkMessages::writeRunResult);
    }

    static RunsEnded readRunsEnded(FieldReader in) throws IOException, FrameException {
        return new RunsEnded(in.list(WorkMessages::readRunResult));
    }

    private static void writeRunResult(FieldWriter out, RunResult result) throws IOException, FrameException {
        writeRunRef(out.arrayHeader(4), result.ref());
        out.constant(EnumFormat.RUN_OUTCOME, result.outcome())
                .number(result.elapsedMillis())
                .text(result.checkpoint());
    }

    private static RunResult readRunResult(FieldReader in) throws IOException, FrameException {
        in.expectArray(4);
        return new RunResult(readRunRef(in), in.constant(EnumFormat.RUN_OUTCOME), in.nonNegativeInt(), in.text());
    }

    static void writeActiveRuns(FieldWriter out, ActiveRuns activeRuns) throws IOException, FrameException {
        out.list(activeRuns.runs(), WorkMessages::writeRunRef);
    }

    static ActiveRuns readActiveRuns(FieldReader in) throws IOException, FrameException {
        return new ActiveRuns(in.list(WorkMessages::readRunRef));
    }

    static void writeLeaseRenewal(FieldWriter out, LeaseRenewal renewal) throws IOException {
        out.number(renewal.timestampNanos());
    }

    static LeaseRenewal readLeaseRenewal(FieldReader in) throws IOException {
        return new LeaseRenewal(in.anyLong());
    }

    static void writeQueueUpdate(FieldWriter out, QueueUpdate update) throws IOException, FrameException {
        out.number(update.version()).list(update.queues(), WorkMessages::writeQueue);
    }

    static QueueUpdate readQueueUpdate(FieldReader in) throws IOException, FrameException {
        return new QueueUpdate(in.nonNegativeLong(), in.list(WorkMessages::readQueue));
    }

    private static void writeQueue(FieldWriter out, WorkQueue queue) throws IOException, FrameException {
        out.arrayHeader(10)
                .name(queue.name())
                .name(queue.host())
                .name(queue.pathPrefix())
                .name(queue.service())
                .number(queue.priority())
                .number(queue.maxAttempts())
                .doubleNumber(queue.stretch())
                .number(queue.targetLatencyMillis())
                .number(queue.timeoutMillis())
                .flag(queue.advised());
    }

    private static WorkQueue readQueue(FieldReader in) throws IOException, FrameException {
        in.expectArray(10);
        return new WorkQueue(
                in.name(),
                in.name(),
                in.name(),
                in.name(),
                in.nonNegativeInt(),
                in.nonNegativeInt(),
                in.finiteDouble(),
                in.nonNegativeInt(),
                in.nonNegativeInt(),
                in.flag());
    }

    static void writeJobOwnershipUpdate(FieldWriter out, JobOwnershipUpdate update) throws IOException, FrameException {
        out.list(update.owned(), WorkMessages::writeJobClaim).list(update.ended(), FieldWriter::name);
    }

    static JobOwnershipUpdate readJobOwnershipUpdate(FieldReader in) throws IOException, FrameException {
        return new JobOwnershipUpdate(in.list(WorkMessages::readJobClaim), in.list(FieldReader::name));
    }

    private static void writeJobClaim(FieldWriter out, JobClaim claim) throws IOException, FrameException {
        out.arrayHeader(2).name(claim.job()).number(claim.ageMillis());
    }

    private static JobClaim readJobClaim(FieldReader in) throws IOException, FrameException {
        in.expectArray(2);
        return new JobClaim(in.name(), in.nonNegativeLong());
    }

    static void writeYieldJob(FieldWriter out, YieldJob yieldJob) throws IOException, FrameException {
        out.name(yieldJob.job());
    }

    static YieldJob readYieldJob(FieldReader in) throws IOException, FrameException {
        return new YieldJob(in.name());
    }

    static void writeOwnershipProbe(FieldWriter out, OwnershipProbe probe) throws IOException, FrameException {
        out.number(probe.number());
    }

    static OwnershipProbe readOwnershipProbe(FieldReader in) throws IOException, FrameException {
        return new OwnershipProbe(in.nonNegativeLong());
    }

    static void writeOwnershipProbeReply(FieldWriter out, OwnershipProbeReply reply)
            throws IOException, FrameException {
        out.number(reply.number());
    }

    static OwnershipProbeReply readOwnershipProbeReply(FieldReader in) throws IOException, FrameException {
        return new OwnershipProbeReply(in.nonNegativeLong());
    }

    static void writeCancelJob(FieldWriter out, CancelJob cancel) throws IOException, FrameException {
        out.name(cancel.job());
    }

    static CancelJob readCancelJob(FieldReader in) throws IOException, FrameException {
        return new CancelJob(in.name());
    }

    static void writeCancelReply(FieldWriter out, CancelReply reply) throws IOException, FrameException {
        out.name(reply.job()).flag(reply.held());
    }

    static CancelReply readCancelReply(FieldReader in) throws IOException, FrameException {
        return new CancelReply(in.name(), in.flag());
    }

    static void writeLinkedEntries(FieldWriter out, LinkedEntries linked) throws IOException, FrameException {
        out.list(linked.entries(), FieldWriter::incarnation).list(linked.unlinkedWithRuns(), FieldWriter::incarnation);
    }

    static LinkedEntries readLinkedEntries(FieldReader in) throws IOException, FrameException {
        return new LinkedEntries(in.list(FieldReader::incarnation), in.list(FieldReader::incarnation));
    }

    static void writeRelayedYield(FieldWriter out, RelayedYield yield) throws IOException, FrameException {
        out.incarnation(yield.peer()).list(yield.jobs(), FieldWriter::name).number(yield.number());
    }

    static RelayedYield readRelayedYield(FieldReader in) throws IOException, FrameException {
        return new RelayedYield(in.incarnation(), in.list(FieldReader::name), in.nonNegativeLong());
    }

    static void writeRelayedEnd(FieldWriter out, RelayedEnd end) throws IOException, FrameException {
        out.incarnation(end.peer()).list(end.jobs(), FieldWriter::name).number(end.number());
    }

    static RelayedEnd readRelayedEnd(FieldReader in) throws IOException, FrameException {
        return new RelayedEnd(in.incarnation(), in.list(FieldReader::name), in.nonNegativeLong());
    }
}
