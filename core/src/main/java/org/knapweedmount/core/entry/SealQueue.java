package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;

/**
 * Sends seals to agents, in batches when many submissions are settled.
 *
 * <p>The first seal for an agent is sent immediately, so that a single settlement is not delayed. Those that follow
 * within the batch delay are sent together at its end.
 */
final class SealQueue {
    /** The time after a message during which further seals for the same agent are collected, in ns. */
    static final long BATCH_DELAY_NANOS = 50_000_000;

    private final EntryContext context;
    private final Map<Incarnation, PendingBatch> batchByAgent = new LinkedHashMap<>();

    /** The seals collected for an agent since the last message to it. */
    private static final class PendingBatch {
        private final long dueNanos;
        private List<Seal> seals = new ArrayList<>();

        private PendingBatch(long dueNanos) {
            this.dueNanos = dueNanos;
        }
    }

    SealQueue(EntryContext context) {
        this.context = context;
    }

    void add(Incarnation agent, Seal seal, long nowNanos) {
        PendingBatch batch = batchByAgent.get(agent);
        if (batch == null) {
            context.output().send(agent, seal);
            batchByAgent.put(agent, new PendingBatch(nowNanos + BATCH_DELAY_NANOS));
            return;
        }
        batch.seals.add(seal);
        if (batch.seals.size() >= SealBatch.MAX_SEALS) {
            send(agent, batch.seals);
            batch.seals = new ArrayList<>();
        }
    }

    /** Discards the seals collected for the previous link to an agent. */
    void linked(Incarnation agent) {
        batchByAgent.remove(agent);
    }

    /**
     * Sends the batches that are due.
     *
     * @param isOpen returns whether the settlement of a seal is still open
     * @param nowNanos the current time, in ns
     */
    void tick(Predicate<Seal> isOpen, long nowNanos) {
        List<Incarnation> due = batchByAgent.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().dueNanos >= 0)
                .map(Map.Entry::getKey)
                .toList();
        for (Incarnation agent : due) {
            List<Seal> seals =
                    batchByAgent.remove(agent).seals.stream().filter(isOpen).toList();
            if (!seals.isEmpty()) {
                send(agent, seals);
                batchByAgent.put(agent, new PendingBatch(nowNanos + BATCH_DELAY_NANOS));
            }
        }
    }

    private void send(Incarnation agent, List<Seal> seals) {
        context.output().send(agent, seals.size() == 1 ? seals.get(0) : new SealBatch(seals));
    }
}
