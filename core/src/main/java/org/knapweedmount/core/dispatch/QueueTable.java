package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.work.WorkQueue;

/** The active queues; an update never replaces a newer version. */
public final class QueueTable {
    private Optional<QueueUpdate> newest = Optional.empty();
    private Map<String, List<WorkQueue>> byHost = Map.of();

    /** Creates a table without queues. */
    public QueueTable() {}

    /**
     * Applies an update if it is newer than the active version.
     *
     * @param update the version and its queues
     * @return true if it was applied
     */
    public boolean apply(QueueUpdate update) {
        if (update.version() <= version()) {
            return false;
        }
        Map<String, List<WorkQueue>> hosts = new HashMap<>();
        for (WorkQueue queue : update.queues()) {
            hosts.computeIfAbsent(queue.host().toLowerCase(Locale.ROOT), key -> new ArrayList<>())
                    .add(queue);
        }
        byHost = hosts;
        newest = Optional.of(update);
        return true;
    }

    /**
     * Returns the active version.
     *
     * @return the version, 0 if none is known
     */
    public long version() {
        return newest.map(QueueUpdate::version).orElse(0L);
    }

    /**
     * Returns the active version with its queues.
     *
     * @return the last applied update, empty if none is known
     */
    public Optional<QueueUpdate> newest() {
        return newest;
    }

    /**
     * Finds the queue of a request by its host, ignoring case, and by the longest matching path prefix.
     *
     * @param host the requested host, without a port
     * @param path the path
     * @return the queue, empty if none matches
     */
    public Optional<WorkQueue> find(String host, String path) {
        WorkQueue found = null;
        for (WorkQueue queue : byHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            boolean longer = found == null
                    || queue.pathPrefix().length() > found.pathPrefix().length();
            if (longer && path.startsWith(queue.pathPrefix())) {
                found = queue;
            }
        }
        return Optional.ofNullable(found);
    }
}
