package org.knapweedmount.wire;

import java.io.IOException;
import java.util.Set;

import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.EvacuationNotice;

/** Reads and writes the fields of messages about data centres that the operator has closed. */
final class EvacuationMessages {
    private EvacuationMessages() {}

    static void writeClosedDataCentres(FieldWriter out, ClosedDataCentres closed) throws IOException, FrameException {
        out.number(closed.version()).list(closed.names().stream().sorted().toList(), FieldWriter::name);
    }

    static ClosedDataCentres readClosedDataCentres(FieldReader in) throws IOException, FrameException {
        return new ClosedDataCentres(in.nonNegativeLong(), Set.copyOf(in.list(FieldReader::name)));
    }

    static void writeNotice(FieldWriter out, EvacuationNotice notice) throws IOException, FrameException {
        out.number(notice.version()).flag(notice.closed());
    }

    static EvacuationNotice readNotice(FieldReader in) throws IOException, FrameException {
        return new EvacuationNotice(in.nonNegativeLong(), in.flag());
    }
}
