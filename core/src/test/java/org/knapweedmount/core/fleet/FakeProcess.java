package org.knapweedmount.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;

/** A simulated process that can be paused and killed; events that arrive during a pause are handled afterwards. */
abstract class FakeProcess {
    private final PeerAddress address;
    private final Scheduler scheduler;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean alive = true;
    private boolean frozen;

    FakeProcess(PeerAddress address, Scheduler scheduler) {
        this.address = address;
        this.scheduler = scheduler;
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

    /** Returns the event handlers of the process. */
    abstract Decisions decisions();

    final long nowNanos() {
        return scheduler.nowNanos();
    }

    final void linked(PeerAddress peer) {
        decisions().linked().accept(peer, nowNanos());
    }

    final void unlinked(Incarnation peer) {
        decisions().unlinked().accept(peer, nowNanos());
    }

    final void receive(Incarnation from, Message message) {
        decisions().received().accept(from, message, nowNanos());
    }

    final void tick() {
        decisions().tick().accept(nowNanos());
    }
}
