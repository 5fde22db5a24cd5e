package org.knapweedmount.daemon.http.limits;

import java.util.concurrent.atomic.AtomicBoolean;

/** A complete body, which is counted as held until it is released. Thread-safe. */
public final class ReceivedBody {
    private final byte[] bytes;
    private final long heldBytes;
    private final CallerAccount account;
    private final AtomicBoolean released = new AtomicBoolean();

    ReceivedBody(byte[] bytes, long heldBytes, CallerAccount account) {
        this.bytes = bytes;
        this.heldBytes = heldBytes;
        this.account = account;
    }

    /**
     * Returns the body.
     *
     * @return the bytes, which must not be changed
     */
    public byte[] bytes() {
        return bytes;
    }

    /** Counts the body as no longer held; further calls have no effect. */
    public void release() {
        if (released.compareAndSet(false, true)) {
            account.release(heldBytes);
        }
    }
}
