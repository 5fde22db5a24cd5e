package org.knapweedmount.daemon.http;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.SubmissionId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class RequestTargetTest {
    @ParameterizedTest
    @CsvSource({
        "/v1/services/stock, stock, /",
        "/v1/services/stock/lenses/7?depot=a%20b, stock, /lenses/7?depot=a%20b",
        "/v1/services/stock?q=1, stock, /?q=1",
    })
    void serviceCallKeepsPathAndQueryAsSent(String uri, String service, String path) throws Exception {
        assertThat(RequestTarget.parse("PATCH", uri), is(new RequestTarget.ServiceCall(service, path)));
    }

    @Test
    void jobNamedByIssuedIdOrCallerKey() throws Exception {
        SubmissionId id = SubmissionId.parse("entry-1~00000000000000ff.17.3");

        assertThat(
                RequestTarget.parse("GET", "/v1/jobs/entry-1~00000000000000ff.17.3?wait=true"),
                is(new RequestTarget.JobStatus(SubmissionKey.parse(id.toString()), true)));
        assertThat(
                RequestTarget.parse("PUT", "/v1/jobs/order%207+a%2Fb"),
                is(new RequestTarget.SubmitJob(SubmissionKey.parse("order 7+a/b"))));
        assertThat(SubmissionKey.parse(id.toString()).id().orElseThrow(), is(id));
        assertThat(SubmissionKey.parse("order 7").callerKey().orElseThrow(), is("order 7"));
    }

    @Test
    void countOfIdsDefaultsToOne() throws Exception {
        assertThat(RequestTarget.parse("POST", "/v1/submission-ids"), is(new RequestTarget.IssueIds(1)));
        assertThat(RequestTarget.parse("POST", "/v1/submission-ids?count=1000"), is(new RequestTarget.IssueIds(1000)));
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /v2/jobs/a, 404",
        "GET, /v1/submission-ids, 405",
        "POST, /v1/jobs/a, 405",
        "DELETE, /metrics, 405",
        "POST, /v1/submission-ids?count=1001, 400",
        "POST, /v1/submission-ids?count=0, 400",
        "GET, /v1/jobs/, 400",
        "GET, /v1/jobs/a%0Ab, 400",
        "GET, /v1/jobs/a%2, 400",
        "GET, /v1/jobs/a?wait=1, 400",
        "GET, /v1/services/no%20name/x, 400",
    })
    void invalidTargetIsAProblem(String method, String uri, int status) {
        ProblemException refused =
                assertThrows(ProblemException.class, () -> RequestTarget.parse(method, uri), method + " " + uri);

        assertThat(refused.problem().status(), is(status));
    }
}
