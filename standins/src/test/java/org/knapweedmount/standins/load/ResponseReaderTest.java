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

class ResponseReaderTest {
    private static final String OWN_RESPONSE = "{\"task\":\"x#0\",\"echo\":\"a 7 0\"}";
    private static final String OTHER_RESPONSE = "{\"task\":\"y#0\",\"echo\":\"a 8 0\"}";

    @Test
    void aSingleResponseMustEchoItsRequest() throws ParseException {
        assertThat(single("complete", OWN_RESPONSE), is(new RequestResult(RequestOutcome.COMPLETE, "", "id")));
        assertThat(single("complete", OTHER_RESPONSE).outcome(), is(RequestOutcome.WRONG));
        assertThat(single("complete", "").outcome(), is(RequestOutcome.WRONG));
        assertThat(single(null, OWN_RESPONSE).outcome(), is(RequestOutcome.WRONG));
        assertThat(single("partly", OWN_RESPONSE).outcome(), is(RequestOutcome.WRONG));
    }

    @Test
    void aRefusalKeepsItsReason() throws ParseException {
        assertThat(
                single("not-run", "{\"reason\":\"overloaded\"}"),
                is(new RequestResult(RequestOutcome.NOT_RUN, "overloaded", "id")));
        assertThat(single("failed", "no JSON"), is(new RequestResult(RequestOutcome.FAILED, "", "id")));
    }

    @Test
    void aJobIsCompleteOnlyWithAllItsOwnResults() throws ParseException {
        String first = "{\"body\":\"{\\\"echo\\\":\\\"a 7 0\\\"}\"}";
        String second = "{\"body\":\"{\\\"echo\\\":\\\"a 7 1\\\"}\"}";
        assertThat(job("complete", first + "," + second), is(RequestOutcome.COMPLETE));
        assertThat(job("complete", second + "," + first), is(RequestOutcome.WRONG));
        assertThat(job("complete", first), is(RequestOutcome.WRONG));
        assertThat(job("failed", ""), is(RequestOutcome.FAILED));
        assertThat(job("failed", first), is(RequestOutcome.WRONG));
        assertThat(job("pending", ""), is(RequestOutcome.WRONG));
    }

    @Test
    void notRunContradictsEveryOutcomeOfATaskThatRan() {
        assertThat(RequestOutcome.NOT_RUN.contradicts(RequestOutcome.COMPLETE), is(true));
        assertThat(RequestOutcome.FAILED.contradicts(RequestOutcome.NOT_RUN), is(true));
        assertThat(RequestOutcome.NOT_RUN.contradicts(RequestOutcome.UNKNOWN), is(false));
        assertThat(RequestOutcome.NOT_RUN.contradicts(RequestOutcome.NOT_RUN), is(false));
        assertThat(RequestOutcome.COMPLETE.contradicts(RequestOutcome.COMPLETE), is(false));
    }

    @Test
    void onlyRequestsThatWereNotAcceptedMayBeRetriedOnAnotherEntry() {
        RequestResult draining = new RequestResult(RequestOutcome.NOT_RUN, "draining", "");
        assertThat(draining.mayRetryOnAnotherEntry(""), is(true));
        assertThat(draining.mayRetryOnAnotherEntry("id"), is(false));
        assertThat(new RequestResult(RequestOutcome.NOT_RUN, "overloaded", "").mayRetryOnAnotherEntry(""), is(false));
        assertThat(RequestResult.unreached(new IOException()).mayRetryOnAnotherEntry("id"), is(true));
        assertThat(RequestResult.lost(new IOException()).mayRetryOnAnotherEntry(""), is(false));
    }

    private static RequestResult single(String outcome, String body) throws ParseException {
        return ResponseReader.readSingle(request(1), outcome, "id", bytes(body));
    }

    private static RequestOutcome job(String outcome, String results) throws ParseException {
        String body = "{\"submission\":\"id\",\"outcome\":\"" + outcome + "\",\"results\":[" + results + "]}";
        return ResponseReader.readJob(request(2), bytes(body)).outcome();
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
