package org.knapweedmount.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/** A process that can be frozen and killed; what reaches it while frozen is handled when it goes on. */
abstract class FakeProcess {
    private final PeerAddress address;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean alive = true;
    private boolean frozen;

    FakeProcess(PeerAddress address) {
        this.address = address;
    }

    final PeerAddress address() {
        return address;
    }

    final boolean alive() {
        return alive;
    }

    final boolean running() {
        return alive && !frozen;
    }

    final void deliver(Runnable action) {
        if (!alive) {
            return;
        }
        if (frozen) {
            held.add(action);
            return;
        }
        action.run();
    }

    final void freeze() {
        frozen = true;
    }

    final void thaw() {
        frozen = false;
        while (running() && !held.isEmpty()) {
            held.remove().run();
        }
    }

    final void kill() {
        alive = false;
        held.clear();
    }

    abstract void linked(PeerAddress peer);

    abstract void unlinked(Incarnation peer);

    abstract void receive(Incarnation from, Message message);

    abstract void tick();
}
