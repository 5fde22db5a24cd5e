package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.work.WorkQueue;

/** The queues in force: those of the newest version that has become known, never of an older one. */
public final class QueueTable {
    private Optional<QueueUpdate> newest = Optional.empty();
    private Map<String, List<WorkQueue>> byHost = Map.of();

    /** Creates a book without a version. */
    public QueueTable() {}

    /**
     * Applies a version unless the present one is as new.
     *
     * @param update the version and its queues
     * @return true if it is in force now
     */
    public boolean apply(QueueUpdate update) {
        if (update.version() <= version()) {
            return false;
        }
        Map<String, List<WorkQueue>> hosts = new HashMap<>();
        for (WorkQueue queue : update.queues()) {
            hosts.computeIfAbsent(queue.host().toLowerCase(Locale.ROOT), none -> new ArrayList<>())
                    .add(queue);
        }
        byHost = hosts;
        newest = Optional.of(update);
        return true;
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 if none is known
     */
    public long version() {
        return newest.map(QueueUpdate::version).orElse(0L);
    }

    /**
     * Returns what is in force.
     *
     * @return the version and its queues, empty if none is known
     */
    public Optional<QueueUpdate> newest() {
        return newest;
    }

    /**
     * Finds the queue of a request.
     *
     * @param host the host that the caller names, without a port
     * @param path the path
     * @return the queue with the longest prefix that the path begins with, empty if there is none
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
