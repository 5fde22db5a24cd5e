package org.knapweedmount.standins.soak;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class StarvedEntriesTest {
    private final StarvedEntries entries = new StarvedEntries();

    private void answer(int entry, int count, CallerAnswer answer) {
        for (int i = 0; i < count; i++) {
            entries.answered(entry, 1_100, answer);
        }
    }

    @Test
    void requestsToOtherEntriesWithoutAnAnswerAreAViolation() {
        entries.begin(1, 1_000);
        answer(2, 80, CallerAnswer.COMPLETED);
        answer(2, 20, CallerAnswer.NONE);

        assertThat(entries.check(2_000).isPresent(), is(true));
    }

    @Test
    void requestsToTheEntryThatLacksTimeDoNotCount() {
        entries.begin(1, 1_000);
        answer(2, 80, CallerAnswer.COMPLETED);
        answer(1, 80, CallerAnswer.NONE);

        assertThat(entries.check(2_000).isPresent(), is(false));
    }

    @Test
    void requestsAreJudgedThatWereSentBeforeTheLackEnded() {
        entries.begin(1, 1_000);
        entries.end(1, 1_200);
        answer(2, 80, CallerAnswer.NONE);

        assertThat(entries.check(2_000).isPresent(), is(true));
    }

    @Test
    void requestsThatNoLackMetDoNotCount() {
        answer(2, 80, CallerAnswer.NONE);

        assertThat(entries.check(2_000).isPresent(), is(false));
    }
}
