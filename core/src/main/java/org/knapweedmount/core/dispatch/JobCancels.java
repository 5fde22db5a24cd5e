package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.CancelJob;
import org.knapweedmount.api.message.CancelReply;

/**
 * Cancellations by callers, which reach their job at whichever entry holds it.
 *
 * <p>A cancelled ID is remembered here and at all linked entries, so that a job that is submitted again after its
 * cancellation is not run; entries tell each other the remembered IDs on each new link. Beyond a number of IDs the oldest
 * is forgotten, and its job would run again.
 */
final class JobCancels {
    private static final int MAX_REMEMBERED = 4_096;

    private final DispatchOutput output;
    private final Map<String, Remembered> remembered = new LinkedHashMap<>();
    private final Map<String, Inquiry> inquiries = new LinkedHashMap<>();
    private boolean finished;

    /** A cancelled ID; confirmed once an entry has ended its job. */
    private record Remembered(long nanos, boolean confirmed) {}

    /** A cancellation whose job is not held here, and the entries that have not answered. */
    private static final class Inquiry {
        private final Set<Incarnation> awaited;
        private final long sentNanos;
        private boolean uncertain;

        private Inquiry(Set<Incarnation> awaited, boolean uncertain, long sentNanos) {
            this.awaited = new HashSet<>(awaited);
            this.uncertain = uncertain;
            this.sentNanos = sentNanos;
        }
    }

    JobCancels(DispatchOutput output) {
        this.output = output;
    }

    /** Returns whether a job was cancelled and must not be run. */
    boolean isCancelled(String job) {
        return remembered.containsKey(job);
    }

    /**
     * Tells other entries of a cancellation by a caller, and answers it at once if the job was held here.
     *
     * @param held whether the job was held here
     * @param peers the linked entries
     * @param cutOff whether an entry is alive that has no link
     */
    void cancelled(String job, boolean held, Set<Incarnation> peers, boolean cutOff, long nowNanos) {
        boolean confirmed = held || (isCancelled(job) && remembered.get(job).confirmed());
        remember(job, confirmed, nowNanos);
        if (confirmed) {
            peers.forEach(peer -> output.send(peer, new CancelJob(job)));
            answer(job, CancelResult.CANCELLED);
            return;
        }
        if (inquiries.containsKey(job)) {
            return;
        }
        Inquiry inquiry = new Inquiry(peers, cutOff, nowNanos);
        inquiries.put(job, inquiry);
        peers.forEach(peer -> output.send(peer, new CancelJob(job)));
        answerIfComplete(job, inquiry);
        if (finished) {
            answerUnconfirmed();
        }
    }

    /** Answers all cancellations before a planned stop, and from now on each new one at once. */
    void finish() {
        finished = true;
        answerUnconfirmed();
    }

    private void answerUnconfirmed() {
        List<String> waiting = List.copyOf(inquiries.keySet());
        inquiries.clear();
        waiting.forEach(job -> answer(job, CancelResult.UNCONFIRMED));
    }

    /** Returns the number of cancellations that wait for other entries. */
    int waiting() {
        return inquiries.size();
    }

    private void remember(String job, boolean confirmed, long nowNanos) {
        remembered.remove(job);
        remembered.put(job, new Remembered(nowNanos, confirmed));
        if (remembered.size() > MAX_REMEMBERED) {
            remembered.remove(remembered.keySet().iterator().next());
        }
    }

    /** Answers another entry that has told of a cancellation. */
    void toldByPeer(Incarnation peer, String job, boolean held, long nowNanos) {
        boolean confirmed = held || (isCancelled(job) && remembered.get(job).confirmed());
        remember(job, confirmed, nowNanos);
        output.send(peer, new CancelReply(job, confirmed));
    }

    /** Applies the answer of another entry. */
    void replyReceived(Incarnation peer, CancelReply reply, long nowNanos) {
        Inquiry inquiry = inquiries.get(reply.job());
        if (inquiry == null || !inquiry.awaited.remove(peer)) {
            return;
        }
        if (reply.held()) {
            inquiries.remove(reply.job());
            remember(reply.job(), true, nowNanos);
            answer(reply.job(), CancelResult.CANCELLED);
            return;
        }
        answerIfComplete(reply.job(), inquiry);
    }

    private void answerIfComplete(String job, Inquiry inquiry) {
        if (inquiry.awaited.isEmpty()) {
            inquiries.remove(job);
            answer(job, inquiry.uncertain ? CancelResult.UNCONFIRMED : CancelResult.NOT_HELD);
        }
    }

    private void answer(String job, CancelResult result) {
        output.logEvent("job-cancelled", "job=" + job + " result=" + result);
        output.answerCancel(job, result);
    }

    /** Tells an entry on a new link which jobs must not be run. */
    void linked(Incarnation peer) {
        remembered.keySet().forEach(job -> output.send(peer, new CancelJob(job)));
    }

    /** Counts the answers of a lost entry as unknown. */
    void unlinked(Incarnation peer) {
        for (Map.Entry<String, Inquiry> entry : new ArrayList<>(inquiries.entrySet())) {
            if (entry.getValue().awaited.remove(peer)) {
                entry.getValue().uncertain = true;
                answerIfComplete(entry.getKey(), entry.getValue());
            }
        }
    }

    /** Answers cancellations that wait for too long, and forgets old ones. */
    void tick(long nowNanos) {
        List<String> late = inquiries.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().sentNanos > DispatchTimings.CANCEL_REPLY_NANOS)
                .map(Map.Entry::getKey)
                .toList();
        for (String job : late) {
            inquiries.remove(job);
            answer(job, CancelResult.UNCONFIRMED);
        }
        Iterator<Remembered> oldestFirst = remembered.values().iterator();
        while (oldestFirst.hasNext()
                && nowNanos - oldestFirst.next().nanos() > DispatchTimings.CANCEL_REMEMBERED_NANOS) {
            oldestFirst.remove();
        }
    }
}
