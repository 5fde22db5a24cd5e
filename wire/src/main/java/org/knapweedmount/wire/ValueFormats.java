package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;

/** Reads and writes the values that several messages contain; each value is an array of its fields. */
final class ValueFormats {
    private ValueFormats() {}

    static void writeAddress(FieldWriter out, PeerAddress address) throws IOException, FrameException {
        out.arrayHeader(6)
                .incarnation(address.incarnation())
                .constant(EnumFormat.ROLE, address.role())
                .name(address.region())
                .name(address.dataCentre())
                .name(address.host())
                .number(address.port());
    }

    static PeerAddress readAddress(FieldReader in) throws IOException, FrameException {
        in.expectArray(6);
        return new PeerAddress(
                in.incarnation(), in.constant(EnumFormat.ROLE), in.name(), in.name(), in.name(), in.nonNegativeInt());
    }

    static void writeSubmission(FieldWriter out, SubmissionId id) throws IOException, FrameException {
        out.arrayHeader(3).incarnation(id.issuer()).number(id.sequence()).number(id.rosterVersion());
    }

    static SubmissionId readSubmission(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new SubmissionId(in.incarnation(), in.nonNegativeLong(), in.nonNegativeInt());
    }

    static void writeTask(FieldWriter out, TaskId id) throws IOException, FrameException {
        SubmissionId submission = id.submission();
        out.arrayHeader(4)
                .incarnation(submission.issuer())
                .number(submission.sequence())
                .number(submission.rosterVersion())
                .number(id.index());
    }

    static TaskId readTask(FieldReader in) throws IOException, FrameException {
        in.expectArray(4);
        Incarnation issuer = in.incarnation();
        SubmissionId submission = new SubmissionId(issuer, in.nonNegativeLong(), in.nonNegativeInt());
        return new TaskId(submission, in.nonNegativeInt());
    }

    static void writeFlow(FieldWriter out, Flow flow) throws IOException, FrameException {
        out.arrayHeader(2).name(flow.kind()).name(flow.team());
    }

    static Flow readFlow(FieldReader in) throws IOException, FrameException {
        in.expectArray(2);
        return new Flow(in.name(), in.name());
    }

    static void writeResources(FieldWriter out, Resources resources) throws IOException {
        out.arrayHeader(3)
                .number(resources.milliCores())
                .number(resources.memoryMegabytes())
                .number(resources.accelerators());
    }

    static Resources readResources(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new Resources(in.nonNegativeInt(), in.nonNegativeInt(), in.nonNegativeInt());
    }

    static void writeSpec(FieldWriter out, TaskSpec spec) throws IOException, FrameException {
        out.arrayHeader(7)
                .name(spec.kind())
                .name(spec.method())
                .text(spec.path())
                .text(spec.contentType())
                .payload(spec.body())
                .number(spec.declaredMillis())
                .value(spec.resources(), ValueFormats::writeResources);
    }

    static TaskSpec readSpec(FieldReader in) throws IOException, FrameException {
        in.expectArray(7);
        return new TaskSpec(
                in.name(), in.name(), in.text(), in.text(), in.payload(), in.nonNegativeInt(), readResources(in));
    }

    static void writeJob(FieldWriter out, JobSpec job) throws IOException, FrameException {
        out.arrayHeader(3).name(job.team()).flag(job.atMostOnce()).list(job.tasks(), ValueFormats::writeSpec);
    }

    static JobSpec readJob(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new JobSpec(in.name(), in.flag(), in.list(ValueFormats::readSpec));
    }

    static void writeResult(FieldWriter out, TaskResult result) throws IOException, FrameException {
        out.arrayHeader(5)
                .constant(EnumFormat.OUTCOME, result.outcome())
                .constant(EnumFormat.REASON, result.reason())
                .number(result.status())
                .text(result.contentType())
                .payload(result.body());
    }

    static TaskResult readResult(FieldReader in) throws IOException, FrameException {
        in.expectArray(5);
        return new TaskResult(
                in.constant(EnumFormat.OUTCOME),
                in.constant(EnumFormat.REASON),
                in.nonNegativeInt(),
                in.text(),
                in.payload());
    }

    static void writeAnswer(FieldWriter out, JobAnswer answer) throws IOException, FrameException {
        out.arrayHeader(7)
                .optional(answer.submission(), ValueFormats::writeSubmission)
                .optional(answer.outcome(), (field, outcome) -> field.constant(EnumFormat.OUTCOME, outcome))
                .constant(EnumFormat.REASON, answer.reason())
                .text(answer.detail())
                .number(answer.retryAfterMillis())
                .list(answer.results(), ValueFormats::writeResult)
                .list(answer.tasks(), ValueFormats::writeResult);
    }

    static JobAnswer readAnswer(FieldReader in) throws IOException, FrameException {
        in.expectArray(7);
        return new JobAnswer(
                in.optional(ValueFormats::readSubmission),
                in.optional(outcome -> outcome.constant(EnumFormat.OUTCOME)),
                in.constant(EnumFormat.REASON),
                in.text(),
                in.nonNegativeInt(),
                in.list(ValueFormats::readResult),
                in.list(ValueFormats::readResult));
    }
}
