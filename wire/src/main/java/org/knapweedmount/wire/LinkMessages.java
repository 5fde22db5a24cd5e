package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.message.EntryAdmission;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.Roster;

/** Reads and writes the fields of messages about processes and their links. */
final class LinkMessages {
    private LinkMessages() {}

    static void writeHello(FieldWriter out, Hello hello) throws IOException, FrameException {
        out.number(hello.protocolVersion()).value(hello.sender(), ValueFormats::writeAddress);
    }

    static Hello readHello(FieldReader in) throws IOException, FrameException {
        return new Hello(in.nonNegativeInt(), ValueFormats.readAddress(in));
    }

    static void writeHeartbeat(FieldWriter out, Heartbeat heartbeat) throws IOException {
        out.number(heartbeat.configNumber());
    }

    static Heartbeat readHeartbeat(FieldReader in) throws IOException, FrameException {
        return new Heartbeat(in.nonNegativeLong());
    }

    static void writeLeaving(FieldWriter out, Leaving leaving) throws IOException, FrameException {
        out.text(leaving.reason());
    }

    static Leaving readLeaving(FieldReader in) throws IOException, FrameException {
        return new Leaving(in.text());
    }

    static void writePeers(FieldWriter out, Peers peers) throws IOException, FrameException {
        out.list(peers.entries(), ValueFormats::writeAddress);
    }

    static Peers readPeers(FieldReader in) throws IOException, FrameException {
        return new Peers(in.list(ValueFormats::readAddress));
    }

    static void writeRoster(FieldWriter out, Roster roster) throws IOException, FrameException {
        out.incarnation(roster.issuer()).number(roster.version()).list(roster.agents(), ValueFormats::writeAddress);
    }

    static Roster readRoster(FieldReader in) throws IOException, FrameException {
        return new Roster(in.incarnation(), in.nonNegativeInt(), in.list(ValueFormats::readAddress));
    }

    static void writeEntryAdmission(FieldWriter out, EntryAdmission admission) throws IOException {
        out.flag(admission.open());
    }

    static EntryAdmission readEntryAdmission(FieldReader in) throws IOException {
        return new EntryAdmission(in.flag());
    }
}
