package org.knapweedmount.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrameSplitterTest {
    private static final int MAX_FRAME_BYTES = 50_000;

    private final FrameSplitter splitter = new FrameSplitter(MAX_FRAME_BYTES);
    private final List<String> frames = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 1_000, 40_000, 1_000_000})
    void framesAreReassembledFromChunksOfAnySize(int maxChunkBytes) throws FrameException {
        Random random = new Random(maxChunkBytes);
        List<String> expected = new ArrayList<>();
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        for (int i = 0; i < 30; i++) {
            String text = "x".repeat(1 + random.nextInt(i % 10 == 0 ? MAX_FRAME_BYTES : 100)) + i;
            expected.add(text.substring(1));
            stream.writeBytes(frame(text.substring(1)));
        }

        byte[] bytes = stream.toByteArray();
        int offset = 0;
        while (offset < bytes.length) {
            int end = Math.min(bytes.length, offset + 1 + random.nextInt(maxChunkBytes));
            accept(Arrays.copyOfRange(bytes, offset, end));
            offset = end;
        }

        assertThat(frames, is(expected));
    }

    @Test
    void incompleteFrameIsNotDelivered() throws FrameException {
        byte[] frame = frame("abc");

        accept(Arrays.copyOf(frame, frame.length - 1));
        assertThat(frames, is(empty()));
        accept(new byte[] {'c'});
        assertThat(frames, contains("abc"));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, -1, MAX_FRAME_BYTES + 1, Integer.MAX_VALUE})
    void lengthOutOfRangeIsRefusedFromTheHeaderAlone(int length) {
        byte[] header = ByteBuffer.allocate(Integer.BYTES).putInt(length).array();

        assertThrows(FrameException.class, () -> accept(header));
    }

    private void accept(byte[] chunk) throws FrameException {
        splitter.accept(chunk, (bytes, offset, length) -> frames.add(new String(bytes, offset, length, US_ASCII)));
    }

    private static byte[] frame(String text) {
        byte[] bytes = text.getBytes(US_ASCII);
        return ByteBuffer.allocate(Integer.BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .array();
    }
}
