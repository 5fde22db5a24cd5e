package org.knapweedmount.wire;

import java.io.IOException;
import java.util.List;

import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/** The formats of the messages about jobs on workers. */
final class WorkMessages {
    private WorkMessages() {}

    static void writeReport(FieldWriter out, WorkerReport report) throws IOException, FrameException {
        out.number(report.timestampNanos())
                .name(report.service())
                .name(report.worker())
                .list(report.labels(), FieldWriter::name)
                .value(report.capacity(), ValueFormats::writeResources)
                .value(report.free(), ValueFormats::writeResources)
                .flag(report.acceptsStarts())
                .number(report.lastOrderNumber())
                .number(report.otherBacklogCoreMillis())
                .number(report.slowdownPercent());
    }

    static WorkerReport readReport(FieldReader in) throws IOException, FrameException {
        return new WorkerReport(
                in.anyLong(),
                in.name(),
                in.name(),
                in.list(FieldReader::name),
                ValueFormats.readResources(in),
                ValueFormats.readResources(in),
                in.flag(),
                in.natural(),
                in.natural(),
                in.count());
    }

    static void writeDemand(FieldWriter out, ResourceDemand demand) throws IOException, FrameException {
        out.number(demand.queuedTasks())
                .number(demand.virtualDeadlineMicros())
                .value(demand.smallestTask(), ValueFormats::writeResources)
                .number(demand.backlogCoreMillis());
    }

    static ResourceDemand readDemand(FieldReader in) throws IOException, FrameException {
        return new ResourceDemand(in.count(), in.anyLong(), ValueFormats.readResources(in), in.natural());
    }

    static void writeOffer(FieldWriter out, ResourceOffer offer) throws IOException, FrameException {
        out.number(offer.number()).value(offer.resources(), ValueFormats::writeResources);
    }

    static ResourceOffer readOffer(FieldReader in) throws IOException, FrameException {
        return new ResourceOffer(in.natural(), ValueFormats.readResources(in));
    }

    static void writeOrder(FieldWriter out, RunOrder order) throws IOException, FrameException {
        out.number(order.number())
                .number(order.timestampNanos())
                .number(order.offer())
                .list(order.jobs(), WorkMessages::writeJob);
        writeDemand(out.array(4), order.demand());
    }

    static RunOrder readOrder(FieldReader in) throws IOException, FrameException {
        long number = in.natural();
        long stampNanos = in.anyLong();
        long offer = in.natural();
        List<JobRuns> jobs = in.list(WorkMessages::readJob);
        in.array(4);
        return new RunOrder(number, stampNanos, offer, jobs, readDemand(in));
    }

    private static void writeJob(FieldWriter out, JobRuns job) throws IOException, FrameException {
        out.array(2).text(job.spec()).list(job.runs(), WorkMessages::writeItem);
    }

    private static JobRuns readJob(FieldReader in) throws IOException, FrameException {
        in.array(2);
        return new JobRuns(in.text(), in.list(WorkMessages::readItem));
    }

    private static void writeItem(FieldWriter out, RunRequest item) throws IOException, FrameException {
        writeRef(out.array(4), item.ref());
        out.value(item.resources(), ValueFormats::writeResources)
                .number(item.expectedMillis())
                .text(item.checkpoint());
    }

    private static RunRequest readItem(FieldReader in) throws IOException, FrameException {
        in.array(4);
        return new RunRequest(readRef(in), ValueFormats.readResources(in), in.count(), in.text());
    }

    private static void writeRef(FieldWriter out, RunRef ref) throws IOException, FrameException {
        out.array(2).name(ref.task()).number(ref.run());
    }

    private static RunRef readRef(FieldReader in) throws IOException, FrameException {
        in.array(2);
        return new RunRef(in.name(), in.count());
    }

    static void writeStop(FieldWriter out, StopRuns stop) throws IOException, FrameException {
        out.list(stop.runs(), WorkMessages::writeRef);
    }

    static StopRuns readStop(FieldReader in) throws IOException, FrameException {
        return new StopRuns(in.list(WorkMessages::readRef));
    }

    static void writeEnded(FieldWriter out, RunsEnded ended) throws IOException, FrameException {
        out.list(ended.results(), WorkMessages::writeEnd);
    }

    static RunsEnded readEnded(FieldReader in) throws IOException, FrameException {
        return new RunsEnded(in.list(WorkMessages::readEnd));
    }

    private static void writeEnd(FieldWriter out, RunResult end) throws IOException, FrameException {
        writeRef(out.array(4), end.ref());
        out.constant(EnumFormat.RUN_ENDING, end.outcome())
                .number(end.elapsedMillis())
                .text(end.checkpoint());
    }

    private static RunResult readEnd(FieldReader in) throws IOException, FrameException {
        in.array(4);
        return new RunResult(readRef(in), in.constant(EnumFormat.RUN_ENDING), in.count(), in.text());
    }

    static void writeHeld(FieldWriter out, ActiveRuns held) throws IOException, FrameException {
        out.list(held.runs(), WorkMessages::writeRef);
    }

    static ActiveRuns readHeld(FieldReader in) throws IOException, FrameException {
        return new ActiveRuns(in.list(WorkMessages::readRef));
    }

    static void writeRenewal(FieldWriter out, LeaseRenewal renewal) throws IOException {
        out.number(renewal.timestampNanos());
    }

    static LeaseRenewal readRenewal(FieldReader in) throws IOException {
        return new LeaseRenewal(in.anyLong());
    }

    static void writeQueues(FieldWriter out, QueueUpdate update) throws IOException, FrameException {
        out.number(update.version()).list(update.queues(), WorkMessages::writeQueue);
    }

    static QueueUpdate readQueues(FieldReader in) throws IOException, FrameException {
        return new QueueUpdate(in.natural(), in.list(WorkMessages::readQueue));
    }

    private static void writeQueue(FieldWriter out, WorkQueue queue) throws IOException, FrameException {
        out.array(10)
                .name(queue.name())
                .name(queue.host())
                .name(queue.pathPrefix())
                .name(queue.service())
                .number(queue.priority())
                .number(queue.maxAttempts())
                .fraction(queue.stretch())
                .number(queue.targetLatencyMillis())
                .number(queue.timeoutMillis())
                .flag(queue.advised());
    }

    private static WorkQueue readQueue(FieldReader in) throws IOException, FrameException {
        in.array(10);
        return new WorkQueue(
                in.name(),
                in.name(),
                in.name(),
                in.name(),
                in.count(),
                in.count(),
                in.fraction(),
                in.count(),
                in.count(),
                in.flag());
    }

    static void writeJobs(FieldWriter out, JobOwnershipUpdate jobs) throws IOException, FrameException {
        out.list(jobs.owned(), FieldWriter::name).list(jobs.ended(), FieldWriter::name);
    }

    static JobOwnershipUpdate readJobs(FieldReader in) throws IOException, FrameException {
        return new JobOwnershipUpdate(in.list(FieldReader::name), in.list(FieldReader::name));
    }

    static void writeYield(FieldWriter out, YieldJob wish) throws IOException, FrameException {
        out.name(wish.job());
    }

    static YieldJob readYield(FieldReader in) throws IOException, FrameException {
        return new YieldJob(in.name());
    }
}
