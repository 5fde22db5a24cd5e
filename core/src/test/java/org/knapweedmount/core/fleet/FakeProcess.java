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
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private boolean alive = true;
    private boolean paused;

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
        return alive && !paused;
    }

    final void deliver(Runnable action) {
        if (!alive) {
            return;
        }
        if (paused) {
            deferred.add(action);
            return;
        }
        action.run();
    }

    final void pause() {
        paused = true;
    }

    final void resume() {
        paused = false;
        while (running() && !deferred.isEmpty()) {
            deferred.remove().run();
        }
    }

    final void kill() {
        alive = false;
        deferred.clear();
    }

    /** Returns the event handlers of the process. */
    abstract EventHandlers handlers();

    final long nowNanos() {
        return scheduler.nowNanos();
    }

    final void linked(PeerAddress peer) {
        handlers().linked().accept(peer, nowNanos());
    }

    final void unlinked(Incarnation peer) {
        handlers().unlinked().accept(peer, nowNanos());
    }

    final void receive(Incarnation from, Message message) {
        handlers().received().accept(from, message, nowNanos());
    }

    final void tick() {
        handlers().tick().accept(nowNanos());
    }
}
