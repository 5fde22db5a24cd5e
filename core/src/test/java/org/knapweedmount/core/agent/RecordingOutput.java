package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Message;

/** Records the actions of an agent until a test removes them. */
final class RecordingOutput implements AgentOutput {
    private final Map<Incarnation, List<Message>> sent = new LinkedHashMap<>();
    private final Map<TaskId, String> started = new LinkedHashMap<>();
    private final List<TaskId> stopped = new ArrayList<>();

    @Override
    public void send(Incarnation entry, Message message) {
        sent.computeIfAbsent(entry, name -> new ArrayList<>()).add(message);
    }

    @Override
    public void start(String endpoint, TaskId task, TaskSpec spec) {
        started.put(task, endpoint);
    }

    @Override
    public void stop(String endpoint, TaskId task) {
        stopped.add(task);
    }

    /** Removes and returns all messages sent to an entry since the last call. */
    List<Message> take(Incarnation entry) {
        List<Message> messages = sent.remove(entry);
        return messages == null ? List.of() : messages;
    }

    /** Removes all messages sent to an entry since the last call, and returns those of one type. */
    <T> List<T> take(Incarnation entry, Class<T> type) {
        return take(entry).stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Removes and returns the tasks started since the last call, with their endpoints. */
    Map<TaskId, String> takeStarted() {
        Map<TaskId, String> taken = new LinkedHashMap<>(started);
        started.clear();
        return taken;
    }

    /** Removes and returns the tasks that were asked to stop since the last call. */
    List<TaskId> takeStopped() {
        List<TaskId> taken = List.copyOf(stopped);
        stopped.clear();
        return taken;
    }
}
