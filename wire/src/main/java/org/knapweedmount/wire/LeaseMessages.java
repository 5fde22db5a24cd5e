package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Release;

/** Reads and writes the fields of messages about slots and leases. */
final class LeaseMessages {
    private LeaseMessages() {}

    static void writeCapacity(FieldWriter out, Capacity capacity) throws IOException, FrameException {
        out.name(capacity.service()).number(capacity.slots()).value(capacity.resources(), ValueFormats::writeResources);
    }

    static Capacity readCapacity(FieldReader in) throws IOException, FrameException {
        return new Capacity(in.name(), in.nonNegativeInt(), ValueFormats.readResources(in));
    }

    static void writeDemand(FieldWriter out, Demand demand) throws IOException, FrameException {
        out.name(demand.service()).list(demand.flows(), LeaseMessages::writeFlowDemand);
    }

    static Demand readDemand(FieldReader in) throws IOException, FrameException {
        return new Demand(in.name(), in.list(LeaseMessages::readFlowDemand));
    }

    private static void writeFlowDemand(FieldWriter out, FlowDemand demand) throws IOException, FrameException {
        out.arrayHeader(3)
                .value(demand.flow(), ValueFormats::writeFlow)
                .number(demand.queued())
                .number(demand.oldestWaitMicros());
    }

    private static FlowDemand readFlowDemand(FieldReader in) throws IOException, FrameException {
        in.expectArray(3);
        return new FlowDemand(ValueFormats.readFlow(in), in.nonNegativeInt(), in.nonNegativeLong());
    }

    static void writeGrant(FieldWriter out, Grant grant) throws IOException, FrameException {
        out.name(grant.service())
                .number(grant.firstLease())
                .number(grant.count())
                .constant(EnumFormat.LEASE_SCOPE, grant.scope())
                .optional(grant.flow(), ValueFormats::writeFlow)
                .number(grant.otherIdleSlots());
    }

    static Grant readGrant(FieldReader in) throws IOException, FrameException {
        return new Grant(
                in.name(),
                in.nonNegativeLong(),
                in.nonNegativeInt(),
                in.constant(EnumFormat.LEASE_SCOPE),
                in.optional(ValueFormats::readFlow),
                in.nonNegativeInt());
    }

    static void writeNestedGrant(FieldWriter out, Grant grant) throws IOException, FrameException {
        writeGrant(out.arrayHeader(6), grant);
    }

    static Grant readNestedGrant(FieldReader in) throws IOException, FrameException {
        in.expectArray(6);
        return readGrant(in);
    }

    static void writeRecall(FieldWriter out, Recall recall) throws IOException, FrameException {
        out.name(recall.service()).number(recall.count());
    }

    static Recall readRecall(FieldReader in) throws IOException, FrameException {
        return new Recall(in.name(), in.nonNegativeInt());
    }

    static void writeRelease(FieldWriter out, Release release) throws IOException, FrameException {
        out.name(release.service()).list(release.leases(), FieldWriter::number);
    }

    static Release readRelease(FieldReader in) throws IOException, FrameException {
        return new Release(in.name(), in.list(FieldReader::nonNegativeLong));
    }
}
