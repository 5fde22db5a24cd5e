package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;

/** Reads and writes the fields of messages by which entries forward callers' requests. */
final class RelayMessages {
    private RelayMessages() {}

    static void writeRequest(FieldWriter out, RelayRequest request) throws IOException, FrameException {
        out.number(request.request())
                .constant(EnumFormat.OPERATION, request.operation())
                .value(request.submission(), ValueFormats::writeSubmission)
                .optional(request.job(), ValueFormats::writeJob)
                .flag(request.awaitEnd());
    }

    static RelayRequest readRequest(FieldReader in) throws IOException, FrameException {
        return new RelayRequest(
                in.anyLong(),
                in.constant(EnumFormat.OPERATION),
                ValueFormats.readSubmission(in),
                in.optional(ValueFormats::readJob),
                in.flag());
    }

    static void writeAnswer(FieldWriter out, RelayAnswer answer) throws IOException, FrameException {
        out.number(answer.request()).value(answer.answer(), ValueFormats::writeAnswer);
    }

    static RelayAnswer readAnswer(FieldReader in) throws IOException, FrameException {
        return new RelayAnswer(in.anyLong(), ValueFormats.readAnswer(in));
    }
}
