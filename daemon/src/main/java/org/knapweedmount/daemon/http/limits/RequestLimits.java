package org.knapweedmount.daemon.http.limits;

import java.util.OptionalInt;

/**
 * Limits of a single request and of its connection.
 *
 * @param maxHeaderBytes the maximum size of a head, in bytes
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param headMillis the time from the first byte of a head to its end, in ms
 * @param idleMillis the time that a connection may stay open without a request, in ms
 * @param bodyProgressMillis the time within which {@link #PROGRESS_BYTES} of a body or its end must arrive, in ms
 * @param answerMillis the time that a caller may take to read an answer, in ms
 * @param maxSkippedBytes the maximum number of bytes that are skipped before a request, in bytes
 */
public record RequestLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        int headMillis,
        int idleMillis,
        int bodyProgressMillis,
        int answerMillis,
        int maxSkippedBytes) {
    /** The number of bytes of a body that count as progress; a caller with less than 100 bytes per second is none. */
    public static final int PROGRESS_BYTES = 1_024;

    /** Limits that no caller of a correct HTTP client reaches. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1_024, 256 * 1_024, 10_000, 60_000, 10_000, 30_000, 4_096);

    /**
     * Returns these limits with those of a configuration in place of the own ones.
     *
     * @param configured the limits that are known from the configuration
     * @return the limits in force
     */
    public RequestLimits with(Configured configured) {
        return new RequestLimits(
                configured.maxHeaderBytes().orElse(maxHeaderBytes),
                configured.maxBodyBytes().orElse(maxBodyBytes),
                configured.headMillis().orElse(headMillis),
                configured.idleMillis().orElse(idleMillis),
                bodyProgressMillis,
                answerMillis,
                maxSkippedBytes);
    }

    /**
     * The limits that an operator's configuration states; those which it does not state are empty.
     *
     * @param maxHeaderBytes the maximum size of a head, in bytes
     * @param maxBodyBytes the maximum size of a body, in bytes
     * @param headMillis the time for a head, in ms
     * @param idleMillis the time without a request, in ms
     */
    public record Configured(
            OptionalInt maxHeaderBytes, OptionalInt maxBodyBytes, OptionalInt headMillis, OptionalInt idleMillis) {
        /** A configuration without limits. */
        public static final Configured NONE =
                new Configured(OptionalInt.empty(), OptionalInt.empty(), OptionalInt.empty(), OptionalInt.empty());
    }
}
