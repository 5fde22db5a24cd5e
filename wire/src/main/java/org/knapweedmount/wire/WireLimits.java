package org.knapweedmount.wire;

/** The sizes that both ends of a link keep to; what exceeds them is neither sent nor accepted. */
public final class WireLimits {
    /** The largest name of a process, data centre, service, kind or team, in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 256;

    /** The largest other text, for instance a path, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 16 * 1024;

    /** The largest body of a request or an answer, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 8 * 1024 * 1024;

    /** The largest number of items in a list. */
    public static final int MAX_LIST_ITEMS = 100_000;

    /** The largest frame, without its length prefix, in bytes. */
    public static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;

    private WireLimits() {}
}
