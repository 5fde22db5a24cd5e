package org.knapweedmount.daemon.http.limits;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** Drops the header fields that a server does not read from large heads, which are held until their request is answered. */
final class HeadFilter {
    /** The memory of a head that is left as it is, in bytes; heads of ordinary clients take less. */
    private static final int MAX_UNFILTERED_BYTES = 8 * 1_024;

    /** The number of values of one field that are kept. */
    private static final int MAX_VALUES = 4;

    private static final int REQUEST_LINES = 2;

    private final List<String> names;

    /**
     * Creates a filter.
     *
     * @param readNames the names of the fields that the server reads besides those of the protocol
     */
    HeadFilter(List<String> readNames) {
        this.names = Stream.concat(
                        Stream.of(
                                        HttpHeaderNames.HOST,
                                        HttpHeaderNames.CONNECTION,
                                        HttpHeaderNames.CONTENT_LENGTH,
                                        HttpHeaderNames.TRANSFER_ENCODING,
                                        HttpHeaderNames.EXPECT,
                                        HttpHeaderNames.UPGRADE)
                                .map(CharSequence::toString),
                        readNames.stream())
                .toList();
    }

    /**
     * Drops what the server does not read, if the head is large.
     *
     * @param memoryBytes the memory of the head, in bytes
     * @return the memory of what is left, in bytes
     */
    int filter(HttpRequest request, int memoryBytes) {
        if (memoryBytes <= MAX_UNFILTERED_BYTES) {
            return memoryBytes;
        }
        HttpHeaders headers = request.headers();
        Map<String, List<String>> kept = new LinkedHashMap<>();
        int bytes = request.uri().length();
        int lines = REQUEST_LINES;
        for (String name : names) {
            List<String> values =
                    headers.getAll(name).stream().limit(MAX_VALUES).toList();
            kept.put(name, values);
            bytes += values.stream()
                    .mapToInt(value -> name.length() + value.length())
                    .sum();
            lines += values.size();
        }
        headers.clear();
        kept.forEach(headers::add);
        return MemoryBounds.linesBytes(bytes, lines);
    }
}
