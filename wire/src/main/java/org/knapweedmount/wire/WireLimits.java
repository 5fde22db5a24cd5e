package org.knapweedmount.wire;

/** The limits of the message format; both ends of a link refuse to send or accept anything larger. */
public final class WireLimits {
    /** The maximum length of the name of a process, data centre, service, kind or team, in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 256;

    /** The maximum length of any other text, for instance a path, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 16 * 1024;

    /** The maximum size of the body of a request or a response, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 8 * 1024 * 1024;

    /** The maximum number of items in a list. */
    public static final int MAX_LIST_ITEMS = 100_000;

    /** The maximum size of a frame without its length prefix, in bytes. */
    public static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;

    private WireLimits() {}
}
