package org.knapweedmount.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.ParseException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AnswerReaderTest {
    private static final String OWN = "{\"task\":\"x#0\",\"echo\":\"a 7 0\"}";
    private static final String OTHERS = "{\"task\":\"y#0\",\"echo\":\"a 8 0\"}";

    @Test
    void aSingleAnswerMustEchoItsRequest() throws ParseException {
        assertThat(single("complete", OWN), is(new Answer(Ending.COMPLETE, "", "id")));
        assertThat(single("complete", OTHERS).ending(), is(Ending.WRONG));
        assertThat(single("complete", "").ending(), is(Ending.WRONG));
        assertThat(single(null, OWN).ending(), is(Ending.WRONG));
        assertThat(single("partly", OWN).ending(), is(Ending.WRONG));
    }

    @Test
    void aRefusalKeepsItsReason() throws ParseException {
        assertThat(
                single("not-run", "{\"reason\":\"overloaded\"}"), is(new Answer(Ending.NOT_RUN, "overloaded", "id")));
        assertThat(single("failed", "no JSON"), is(new Answer(Ending.FAILED, "", "id")));
    }

    @Test
    void aJobIsCompleteOnlyWithAllItsOwnResults() throws ParseException {
        String first = "{\"body\":\"{\\\"echo\\\":\\\"a 7 0\\\"}\"}";
        String second = "{\"body\":\"{\\\"echo\\\":\\\"a 7 1\\\"}\"}";
        assertThat(job("complete", first + "," + second), is(Ending.COMPLETE));
        assertThat(job("complete", second + "," + first), is(Ending.WRONG));
        assertThat(job("complete", first), is(Ending.WRONG));
        assertThat(job("failed", ""), is(Ending.FAILED));
        assertThat(job("failed", first), is(Ending.WRONG));
        assertThat(job("pending", ""), is(Ending.WRONG));
    }

    @Test
    void notRunContradictsEveryAnswerOfATaskThatRan() {
        assertThat(Ending.NOT_RUN.contradicts(Ending.COMPLETE), is(true));
        assertThat(Ending.FAILED.contradicts(Ending.NOT_RUN), is(true));
        assertThat(Ending.NOT_RUN.contradicts(Ending.UNKNOWN), is(false));
        assertThat(Ending.NOT_RUN.contradicts(Ending.NOT_RUN), is(false));
        assertThat(Ending.COMPLETE.contradicts(Ending.COMPLETE), is(false));
    }

    @Test
    void onlyWhatWasNotTakenMayGoToAnotherEntry() {
        Answer draining = new Answer(Ending.NOT_RUN, "draining", "");
        assertThat(draining.mayGoElsewhere(""), is(true));
        assertThat(draining.mayGoElsewhere("id"), is(false));
        assertThat(new Answer(Ending.NOT_RUN, "overloaded", "").mayGoElsewhere(""), is(false));
        assertThat(Answer.unreached(new IOException()).mayGoElsewhere("id"), is(true));
        assertThat(Answer.lost(new IOException()).mayGoElsewhere(""), is(false));
    }

    private static Answer single(String outcome, String body) throws ParseException {
        return AnswerReader.single(request(1), outcome, "id", bytes(body));
    }

    private static Ending job(String outcome, String results) throws ParseException {
        String body = "{\"submission\":\"id\",\"outcome\":\"" + outcome + "\",\"results\":[" + results + "]}";
        return AnswerReader.job(request(2), bytes(body)).ending();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static PlannedRequest request(int tasks) throws ParseException {
        LoadFlow flow = LoadFlow.parse("a:s:k:t:1:fixed(5)", tasks, OptionalDouble.empty());
        return new PlannedRequest(
                flow, 7, 0, Collections.nCopies(tasks, new PlannedTask(5_000, 0)), OptionalLong.empty());
    }
}
