package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;

/** Reads and writes the fields of messages about tasks and their results. */
final class TaskMessages {
    private TaskMessages() {}

    static void writeStart(FieldWriter out, Start start) throws IOException, FrameException {
        out.number(start.sequence())
                .number(start.lease())
                .value(start.task(), ValueFormats::writeTask)
                .name(start.service())
                .name(start.team())
                .value(start.spec(), ValueFormats::writeSpec)
                .number(start.queued())
                .number(start.oldestWaitMicros());
    }

    static Start readStart(FieldReader in) throws IOException, FrameException {
        return new Start(
                in.nonNegativeLong(),
                in.nonNegativeLong(),
                ValueFormats.readTask(in),
                in.name(),
                in.name(),
                ValueFormats.readSpec(in),
                in.nonNegativeInt(),
                in.nonNegativeLong());
    }

    static void writeFinished(FieldWriter out, Finished finished) throws IOException, FrameException {
        out.value(finished.task(), ValueFormats::writeTask)
                .number(finished.runMicros())
                .value(finished.result(), ValueFormats::writeResult)
                .optional(finished.next(), LeaseMessages::writeNestedGrant);
    }

    static Finished readFinished(FieldReader in) throws IOException, FrameException {
        return new Finished(
                ValueFormats.readTask(in),
                in.nonNegativeLong(),
                ValueFormats.readResult(in),
                in.optional(LeaseMessages::readNestedGrant));
    }

    static void writeNotStarted(FieldWriter out, NotStarted notStarted) throws IOException, FrameException {
        out.value(notStarted.task(), ValueFormats::writeTask)
                .number(notStarted.sequence())
                .constant(EnumFormat.REASON, notStarted.reason());
    }

    static NotStarted readNotStarted(FieldReader in) throws IOException, FrameException {
        return new NotStarted(ValueFormats.readTask(in), in.nonNegativeLong(), in.constant(EnumFormat.REASON));
    }

    static void writeResume(FieldWriter out, Resume resume) throws IOException, FrameException {
        out.number(resume.lastSequence()).list(resume.tasks(), ValueFormats::writeTask);
    }

    static Resume readResume(FieldReader in) throws IOException, FrameException {
        return new Resume(in.nonNegativeLong(), in.list(ValueFormats::readTask));
    }

    static void writeResumed(FieldWriter out, Resumed resumed) throws IOException, FrameException {
        out.number(resumed.lastSequence()).list(resumed.tasks(), TaskMessages::writeReport);
    }

    static Resumed readResumed(FieldReader in) throws IOException, FrameException {
        return new Resumed(in.nonNegativeLong(), in.list(TaskMessages::readReport));
    }

    private static void writeReport(FieldWriter out, TaskReport report) throws IOException, FrameException {
        out.arrayHeader(3)
                .value(report.task(), ValueFormats::writeTask)
                .constant(EnumFormat.TASK_STATE, report.state())
                .optional(report.result(), ValueFormats::writeResult);
    }

    private static TaskReport readReport(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new TaskReport(
                ValueFormats.readTask(in), in.constant(EnumFormat.TASK_STATE), in.optional(ValueFormats::readResult));
    }

    static void writeCancelTasks(FieldWriter out, CancelTasks cancel) throws IOException, FrameException {
        out.value(cancel.submission(), ValueFormats::writeSubmission);
    }

    static CancelTasks readCancelTasks(FieldReader in) throws IOException, FrameException {
        return new CancelTasks(ValueFormats.readSubmission(in));
    }

    static void writeSeal(FieldWriter out, Seal seal) throws IOException, FrameException {
        out.number(seal.request()).value(seal.submission(), ValueFormats::writeSubmission);
    }

    static Seal readSeal(FieldReader in) throws IOException, FrameException {
        return new Seal(in.anyLong(), ValueFormats.readSubmission(in));
    }

    static void writeSealBatch(FieldWriter out, SealBatch batch) throws IOException, FrameException {
        out.list(batch.seals(), TaskMessages::writeBatchedSeal);
    }

    static SealBatch readSealBatch(FieldReader in) throws IOException, FrameException {
        return new SealBatch(in.list(TaskMessages::readBatchedSeal));
    }

    private static void writeBatchedSeal(FieldWriter out, Seal seal) throws IOException, FrameException {
        out.arrayHeader(2);
        writeSeal(out, seal);
    }

    private static Seal readBatchedSeal(FieldReader in) throws IOException, FrameException {
        in.expectArray(2);
        return readSeal(in);
    }

    static void writeSealedBatch(FieldWriter out, SealedBatch batch) throws IOException, FrameException {
        out.list(batch.answers(), TaskMessages::writeBatchedAnswer);
    }

    static SealedBatch readSealedBatch(FieldReader in) throws IOException, FrameException {
        return new SealedBatch(in.list(TaskMessages::readBatchedAnswer));
    }

    private static void writeBatchedAnswer(FieldWriter out, Sealed sealed) throws IOException, FrameException {
        out.arrayHeader(4);
        writeSealed(out, sealed);
    }

    private static Sealed readBatchedAnswer(FieldReader in) throws IOException, FrameException {
        in.expectArray(4);
        return readSealed(in);
    }

    static void writeSealed(FieldWriter out, Sealed sealed) throws IOException, FrameException {
        out.number(sealed.request())
                .value(sealed.submission(), ValueFormats::writeSubmission)
                .flag(sealed.certain())
                .list(sealed.tasks(), TaskMessages::writeReport);
    }

    static Sealed readSealed(FieldReader in) throws IOException, FrameException {
        return new Sealed(in.anyLong(), ValueFormats.readSubmission(in), in.flag(), in.list(TaskMessages::readReport));
    }
}
