package org.knapweedmount.daemon.http;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.metric.Counters;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class PendingRequestsTest {
    private static final JobAnswer ANSWER = JobAnswer.pending(new SubmissionId(new Incarnation("entry-1", 1), 1, 1));

    private final Counters<HttpCounter> counters = new Counters<>(HttpCounter.class);
    private final PendingRequests pending = new PendingRequests(2, counters);
    private final List<String> answered = new ArrayList<>();

    @Test
    void eachAnswerReachesItsOwnCallerOnce() {
        long first = pending.add(answer -> answered.add("first")).getAsLong();
        long second = pending.add(answer -> answered.add("second")).getAsLong();

        pending.answer(second, ANSWER);
        pending.answer(first, ANSWER);
        pending.answer(second, ANSWER);

        assertThat(answered, contains("second", "first"));
        assertThat(counters.value(HttpCounter.ABANDONED), is(1L));
    }

    @Test
    void fullTableRefusesUntilACallerIsRemoved() {
        long first = pending.add(answer -> {}).getAsLong();
        pending.add(answer -> {});

        assertThat(pending.add(answer -> {}).isEmpty(), is(true));
        pending.remove(first);
        pending.remove(first);
        assertThat(pending.size(), is(1));
        assertThat(pending.add(answer -> {}).isPresent(), is(true));
    }

    @Test
    void removedCallerIsNotAnswered() {
        long number = pending.add(answer -> answered.add("gone")).getAsLong();

        pending.remove(number);
        pending.answer(number, ANSWER);

        assertThat(answered, is(empty()));
    }
}
