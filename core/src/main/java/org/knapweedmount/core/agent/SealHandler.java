package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;

/** Seals submissions, which prevents further starts of their tasks, and reports the tasks already started. */
final class SealHandler {
    /** Total result size at which the answers to a batch are split into another message, in bytes. */
    static final int BATCH_SPLIT_BYTES = 128 * 1024;

    private final AgentContext context;
    private final Seals seals;
    private final StartRecords records;

    SealHandler(AgentContext context, Seals seals, StartRecords records) {
        this.context = context;
        this.seals = seals;
        this.records = records;
    }

    void handle(Incarnation entry, Seal seal) {
        context.output().send(entry, seal(seal));
    }

    /** Answers each seal of a batch, in as many messages as the size of the results requires. */
    void handle(Incarnation entry, SealBatch batch) {
        List<Sealed> answers = new ArrayList<>();
        long bytes = 0;
        for (Seal seal : batch.seals()) {
            Sealed answer = seal(seal);
            answers.add(answer);
            bytes += resultBytes(answer);
            if (bytes >= BATCH_SPLIT_BYTES) {
                context.output().send(entry, new SealedBatch(answers));
                answers.clear();
                bytes = 0;
            }
        }
        if (!answers.isEmpty()) {
            context.output().send(entry, new SealedBatch(answers));
        }
    }

    private Sealed seal(Seal seal) {
        SubmissionId submission = seal.submission();
        boolean certain = seals.seal(submission) && records.isComplete(submission);
        context.counters().increment(certain ? AgentCounter.SEALS : AgentCounter.UNCERTAIN_SEALS);
        return new Sealed(seal.request(), submission, certain, records.started(submission));
    }

    private static long resultBytes(Sealed answer) {
        return answer.tasks().stream()
                .flatMap(report -> report.result().stream())
                .mapToLong(result -> result.body().size())
                .sum();
    }
}
