package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Roster;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.SealBatch;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.SealedBatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.job;

/** Tests the number and size of the messages that settle many submissions of one lost entry. */
class SettlementsTest {
    private static final PeerAddress ISSUER = EntryFixture.entryAddress("entry-2");
    private static final JobSpec JOB = job(RESERVE, "lens");
    private static final int AGENTS = 571;
    private static final int SUBMISSIONS = 200;
    private static final int BATCH_DELAY_MILLIS = 50;
    private static final int SUBMIT_INTERVAL_MILLIS = 5;

    private final EntryFixture entry = new EntryFixture();
    private final List<Incarnation> agents = new ArrayList<>();

    private void loseIssuer(int agentCount) {
        List<PeerAddress> addresses = new ArrayList<>();
        for (int index = 0; index < agentCount; index++) {
            agents.add(entry.agent("agent-" + index, 8));
            addresses.add(EntryFixture.agentAddress("agent-" + index));
        }
        entry.core.linked(ISSUER, entry.now);
        entry.receive(ISSUER.incarnation(), new Roster(ISSUER.incarnation(), 1, addresses));
        entry.core.unlinked(ISSUER.incarnation(), entry.now);
        entry.advance(500);
    }

    private List<Long> submit(int count) {
        List<Long> requests = new ArrayList<>();
        for (int index = 1; index <= count; index++) {
            requests.add(entry.submit(new SubmissionId(ISSUER.incarnation(), index, 1), JOB));
        }
        return requests;
    }

    private static boolean isSeal(Message message) {
        return message instanceof Seal || message instanceof SealBatch;
    }

    private static Sealed nothingStarted(Seal seal) {
        return new Sealed(seal.request(), seal.submission(), true, List.of());
    }

    private void answerAll() {
        for (RecordingOutput.Sent sent : List.copyOf(entry.output.sent)) {
            if (sent.message() instanceof Seal seal) {
                entry.receive(sent.peer(), nothingStarted(seal));
            } else if (sent.message() instanceof SealBatch batch) {
                entry.receive(
                        sent.peer(),
                        new SealedBatch(batch.seals().stream()
                                .map(SettlementsTest::nothingStarted)
                                .toList()));
            }
        }
    }

    @Test
    void manySubmissionsCostEachAgentTwoMessages() {
        loseIssuer(AGENTS);
        List<Long> requests = submit(SUBMISSIONS);
        entry.advance(BATCH_DELAY_MILLIS);
        answerAll();

        assertThat(sealMessages(), is(2L * AGENTS));
        assertThat(requests.stream().map(entry::outcomeAndReason).toList(), everyItem(is("NOT_RUN/SEALED")));
    }

    @Test
    void submissionsOverASecondCostEachAgentAMessagePerBatchDelay() {
        loseIssuer(1);
        for (int index = 1; index <= SUBMISSIONS; index++) {
            entry.submit(new SubmissionId(ISSUER.incarnation(), index, 1), JOB);
            entry.advance(SUBMIT_INTERVAL_MILLIS);
        }
        entry.advance(BATCH_DELAY_MILLIS);

        assertThat(
                sealMessages(), is(lessThanOrEqualTo(2L + SUBMISSIONS * SUBMIT_INTERVAL_MILLIS / BATCH_DELAY_MILLIS)));
    }

    private long sealMessages() {
        return entry.output.sent.stream()
                .map(RecordingOutput.Sent::message)
                .filter(SettlementsTest::isSeal)
                .count();
    }

    @Test
    void batchesAreBounded() {
        loseIssuer(1);
        submit(2 * SealBatch.MAX_SEALS + 10);
        entry.advance(BATCH_DELAY_MILLIS);

        List<Integer> sizes = entry.output.to(agents.get(0), SealBatch.class).stream()
                .map(batch -> batch.seals().size())
                .toList();
        assertThat(sizes, hasSize(3));
        assertThat(sizes, everyItem(is(lessThanOrEqualTo(SealBatch.MAX_SEALS))));
        assertThat(
                sizes.stream().mapToInt(Integer::intValue).sum()
                        + entry.output.to(agents.get(0), Seal.class).size(),
                is(2 * SealBatch.MAX_SEALS + 10));
    }

    @Test
    void pendingSealsOfALostLinkAreSentOnceOnTheNext() {
        loseIssuer(2);
        submit(3);
        entry.core.unlinked(agents.get(1), entry.now);
        entry.advance(BATCH_DELAY_MILLIS);
        entry.output.sent.clear();

        entry.agent("agent-1", 8);
        entry.advance(BATCH_DELAY_MILLIS);

        assertThat(entry.output.to(agents.get(1), Seal.class), hasSize(1));
        assertThat(entry.output.to(agents.get(1), SealBatch.class).get(0).seals(), hasSize(2));
        assertThat(
                entry.output.sent.stream()
                        .filter(sent -> sent.peer().equals(agents.get(0)))
                        .map(RecordingOutput.Sent::message)
                        .filter((Predicate<Message>) SettlementsTest::isSeal)
                        .toList(),
                is(empty()));
    }

    @Test
    void oneUncertainAnswerOfABatchDoesNotAffectTheOthers() {
        loseIssuer(1);
        List<Long> requests = submit(3);
        entry.advance(BATCH_DELAY_MILLIS);
        Seal first = entry.output.to(agents.get(0), Seal.class).get(0);
        SealBatch batch = entry.output.to(agents.get(0), SealBatch.class).get(0);
        Seal uncertain = batch.seals().get(0);
        entry.receive(agents.get(0), nothingStarted(first));

        entry.receive(
                agents.get(0),
                new SealedBatch(List.of(
                        new Sealed(uncertain.request(), uncertain.submission(), false, List.of()),
                        nothingStarted(batch.seals().get(1)))));

        assertThat(
                requests.stream().map(entry::outcomeAndReason).toList(),
                is(List.of("NOT_RUN/SEALED", "UNKNOWN/FORGOTTEN", "NOT_RUN/SEALED")));
    }
}
