package org.knapweedmount.wire;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Start;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class MessageCodingTest {
    private static final int ROUNDS = 200;
    private static final int MUTATIONS = 100_000;
    private static final LinkEnds ENDS = LinkEnds.of(RandomMessages.SENDER, RandomMessages.RECEIVER);

    private final MessageEncoder encoder = new MessageEncoder();
    private final MessageDecoder decoder = new MessageDecoder();

    @ParameterizedTest
    @EnumSource(MessageType.class)
    void messageIsEqualAfterEncodingAndDecoding(MessageType type) throws FrameException {
        RandomMessages messages = new RandomMessages(new Random(type.number()));
        for (int i = 0; i < ROUNDS; i++) {
            Message message = messages.next(type);
            assertThat(decode(encoder.encode(message, ENDS), ENDS), is(message));
            assertThat(decode(encoder.encode(message, LinkEnds.UNKNOWN), LinkEnds.UNKNOWN), is(message));
        }
    }

    @Test
    void everyMessageHasOneTypeAndOneNumber() {
        List<Class<?>> classes = Arrays.stream(MessageType.values())
                .<Class<?>>map(MessageType::messageClass)
                .toList();
        Set<Integer> numbers =
                Arrays.stream(MessageType.values()).map(MessageType::number).collect(Collectors.toSet());

        assertThat(classes, containsInAnyOrder(Message.class.getPermittedSubclasses()));
        assertThat(numbers.size(), is(classes.size()));
    }

    @Test
    void heartbeatFrameKeepsItsBytes() throws FrameException {
        byte[] expected = {0, 0, 0, 3, (byte) 0x92, 2, 5};

        assertThat(encoder.encode(new Heartbeat(5), ENDS), is(expected));
    }

    @Test
    void linkEndsAreEncodedAsOneByte() throws FrameException {
        TaskId own = new SubmissionId(RandomMessages.SENDER, 1000, 3).task(0);
        TaskId foreign = new SubmissionId(new Incarnation("entry-2", Long.MAX_VALUE), 1000, 3).task(0);

        int shortBytes = encoder.encode(start(own, 0), ENDS).length;
        int longBytes = encoder.encode(start(foreign, 0), ENDS).length;

        int nameBytes = 1 + "entry-2".length();
        int nonceBytes = 1 + Long.BYTES;
        assertThat(longBytes - shortBytes, is(1 + nameBytes + nonceBytes - 1));
    }

    @Test
    void mutatedFramesThrowOnlyFrameException() {
        Random random = new Random(4711);
        RandomMessages messages = new RandomMessages(random);
        List<MessageType> types = List.of(MessageType.values());
        int refused = 0;
        for (int i = 0; i < MUTATIONS; i++) {
            MessageType type = types.get(random.nextInt(types.size()));
            if (!accepts(mutate(messages.next(type), random))) {
                refused++;
            }
        }
        assertThat(refused, is(greaterThan(MUTATIONS / 4)));
    }

    private byte[] mutate(Message message, Random random) {
        byte[] frame = encodeChecked(message);
        int start = MessageEncoder.LENGTH_BYTES;
        for (int remaining = 1 + random.nextInt(3); remaining > 0; remaining--) {
            frame[start + random.nextInt(frame.length - start)] = (byte) random.nextInt();
        }
        return random.nextInt(4) == 0 ? Arrays.copyOf(frame, start + random.nextInt(frame.length - start)) : frame;
    }

    private byte[] encodeChecked(Message message) {
        try {
            return encoder.encode(message, ENDS);
        } catch (FrameException e) {
            throw new AssertionError(e);
        }
    }

    private boolean accepts(byte[] frame) {
        try {
            decode(frame, ENDS);
            return true;
        } catch (FrameException e) {
            return false;
        }
    }

    @Test
    void largestPayloadIsAcceptedAndLargerOneIsRefused() throws FrameException {
        TaskId task = new SubmissionId(RandomMessages.SENDER, 1, 1).task(0);
        Message largest = start(task, WireLimits.MAX_PAYLOAD_BYTES);

        assertThat(decode(encoder.encode(largest, ENDS), ENDS), is(largest));
        assertRefused(
                start(task, WireLimits.MAX_PAYLOAD_BYTES + 1),
                "a payload has 8388609 bytes, allowed are at most 8388608");
    }

    @Test
    void textAndListOverTheirLimitsAreRefused() {
        assertRefused(new Recall("é".repeat(129), 1), "a text has 258 bytes, allowed are at most 256");
        assertRefused(new Leaving("a".repeat(16385)), "a text has 16385 bytes, allowed are at most 16384");
        assertRefused(
                new Release("dues", Collections.nCopies(100_001, 1L)),
                "a list has 100001 items, allowed are at most 100000");
    }

    @Test
    void encoderIsEmptyAfterRefusedMessage() throws FrameException {
        assertRefused(new Recall("é".repeat(129), 1), "a text has 258 bytes");

        assertThat(encoder.encode(new Heartbeat(5), ENDS).length, is(7));
    }

    @Test
    void bytesAfterTheMessageAreRefused() {
        byte[] frame = {0, 0, 0, 4, (byte) 0x92, 2, 5, 5};

        FrameException refused = assertThrows(FrameException.class, () -> decode(frame, ENDS));

        assertThat(refused.getMessage(), containsString("1 bytes are left over"));
    }

    private void assertRefused(Message message, String reason) {
        FrameException refused = assertThrows(FrameException.class, () -> encoder.encode(message, ENDS));
        assertThat(refused.getMessage(), containsString(reason));
    }

    private Message decode(byte[] frame, LinkEnds ends) throws FrameException {
        int start = MessageEncoder.LENGTH_BYTES;
        return decoder.decode(frame, start, frame.length - start, ends);
    }

    private static Start start(TaskId task, int bodyBytes) {
        Payload body = Payload.of(new byte[bodyBytes]);
        return new Start(1, 1, task, "dues", "lamps", new TaskSpec("k", "GET", "/", "", body, 0, Resources.NONE), 0, 0);
    }
}
