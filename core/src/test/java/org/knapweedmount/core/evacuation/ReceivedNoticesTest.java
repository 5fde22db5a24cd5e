package org.knapweedmount.core.evacuation;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.EvacuationNotice;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class ReceivedNoticesTest {
    private static final Incarnation FIRST = new Incarnation("first", 1);
    private static final Incarnation SECOND = new Incarnation("second", 2);

    private final List<String> events = new ArrayList<>();
    private final ReceivedNotices notices = new ReceivedNotices((event, detail) -> events.add(event));

    /** Guards against an entry that the store refuses and whose older notice closes or opens the agent. */
    @Test
    void noticeWithTheHighestVersionCounts() {
        notices.received(FIRST, new EvacuationNotice(7, true));
        notices.received(SECOND, new EvacuationNotice(3, false));
        assertThat(notices.isClosed(), is(true));

        notices.received(SECOND, new EvacuationNotice(9, false));
        assertThat(notices.isClosed(), is(false));
        assertThat(events, contains("data-centre-closed", "data-centre-reopened"));
    }

    /** Guards against an agent that stays closed by an entry which cannot tell it of the reopening any more. */
    @Test
    void noticeOfALostLinkIsDiscarded() {
        notices.received(FIRST, new EvacuationNotice(7, true));
        notices.unlinked(SECOND);
        assertThat(notices.isClosed(), is(true));

        notices.unlinked(FIRST);
        assertThat(notices.isClosed(), is(false));
    }

    /** Guards against a last notice that survives although its entry has replaced it. */
    @Test
    void noticeReplacesTheLastOneOfItsEntry() {
        notices.received(FIRST, new EvacuationNotice(7, true));
        notices.received(FIRST, new EvacuationNotice(8, false));

        assertThat(notices.isClosed(), is(false));
    }
}
