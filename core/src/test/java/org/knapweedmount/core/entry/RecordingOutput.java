package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;

/** Records the output of an entry. */
final class RecordingOutput implements EntryOutput {
    final List<Sent> sent = new ArrayList<>();
    final List<PeerAddress> connected = new ArrayList<>();
    final Map<Long, JobAnswer> answers = new HashMap<>();
    final List<String> lookUps = new ArrayList<>();
    final Map<String, SubmissionId> claims = new HashMap<>();

    /**
     * A message that was sent.
     *
     * @param peer the receiver
     * @param message the message
     */
    record Sent(Incarnation peer, Message message) {}

    @Override
    public void send(Incarnation peer, Message message) {
        sent.add(new Sent(peer, message));
    }

    @Override
    public void connect(PeerAddress entry) {
        connected.add(entry);
    }

    @Override
    public void answer(long request, JobAnswer answer) {
        if (answers.put(request, answer) != null) {
            throw new AssertionError("request " + request + " was answered twice");
        }
    }

    @Override
    public void claim(String key, SubmissionId proposed) {
        claims.put(key, proposed);
    }

    @Override
    public void lookUp(String key) {
        lookUps.add(key);
    }

    /** Returns the messages of a type sent to any peer, in order. */
    <T extends Message> List<T> all(Class<T> type) {
        return sent.stream()
                .map(Sent::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    /** Returns the messages of a type sent to one peer, in order. */
    <T extends Message> List<T> to(Incarnation peer, Class<T> type) {
        return sent.stream()
                .filter(item -> item.peer().equals(peer))
                .map(Sent::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
