package org.knapweedmount.daemon.http;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

class JobAnswerWriterTest {
    private static final SubmissionId ID = new SubmissionId(new Incarnation("entry-1", 255), 17, 3);
    private static final Header COMPLETE = new Header("Knapweedmount-Outcome", "complete");
    private static final Header SUBMISSION = new Header("Knapweedmount-Submission", "entry-1~00000000000000ff.17.3");

    @Test
    void singleRequestGetsTheEndpointsResponse() {
        TaskResult result = TaskResult.complete(201, "text/csv", Payload.of("a;b"));

        HttpResponse response = JobAnswerWriter.SINGLE.write(JobAnswer.complete(ID, List.of(result)));

        assertThat(response, is(new HttpResponse(201, "text/csv", List.of(COMPLETE, SUBMISSION), Payload.of("a;b"))));
    }

    @Test
    void jobGetsTheResultsOfAllTasksInOrder() {
        JobAnswer complete = JobAnswer.complete(
                ID,
                List.of(
                        TaskResult.complete(200, "text/plain", Payload.of("é")),
                        TaskResult.complete(200, "x/y", Payload.of(new byte[] {(byte) 0xff}))));

        HttpResponse response = JobAnswerWriter.JOB.write(complete);

        assertThat(response.headers(), contains(COMPLETE, SUBMISSION));
        assertThat(
                response.body().text(),
                is("{\"submission\":\"" + ID + "\",\"outcome\":\"complete\",\"results\":["
                        + "{\"status\":200,\"contentType\":\"text/plain\",\"body\":\"é\"},"
                        + "{\"status\":200,\"contentType\":\"x/y\",\"bodyBase64\":\"/w==\"}]}"));
    }

    @ParameterizedTest
    @CsvSource({"404, 404", "500, 500", "504, 504", "503, 502"})
    void failedSingleRequestGetsTheEndpointsResponse(int endpointStatus, int status) {
        TaskResult result =
                new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, endpointStatus, "text/csv", Payload.of("no;lens"));

        HttpResponse response = JobAnswerWriter.SINGLE.write(failed(List.of(result)));

        Header stated = new Header("Knapweedmount-Endpoint-Status", Integer.toString(endpointStatus));
        List<Header> headers = List.of(new Header("Knapweedmount-Outcome", "failed"), SUBMISSION, stated);
        assertThat(response, is(new HttpResponse(status, "text/csv", headers, Payload.of("no;lens"))));
    }

    @Test
    void failedSingleRequestWithATruncatedResponseIsAProblem() {
        TaskResult truncated = new TaskResult(Outcome.FAILED, Reason.TOO_LARGE, 200, "", Payload.EMPTY);
        JobAnswer failed = JobAnswer.ended(Optional.of(ID), Outcome.FAILED, Reason.TOO_LARGE, "")
                .withTasks(List.of(truncated));

        assertThat(JobAnswerWriter.SINGLE.write(failed).contentType(), is("application/problem+json"));
    }

    @Test
    void failedJobStatesEachOutcomeAndOnlyTheFailedTasksBody() {
        HttpResponse response = JobAnswerWriter.JOB.write(failed(List.of(
                TaskResult.complete(200, "text/plain", Payload.of("red")),
                new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, 404, "text/plain", Payload.of("no lens")),
                new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, 500, "text/plain", Payload.of("no hood")),
                TaskResult.of(Outcome.NOT_RUN, Reason.TASK_FAILED))));

        assertThat(response.status(), is(502));
        assertThat(
                response.body().text(),
                endsWith("\"tasks\":[{\"outcome\":\"complete\",\"reason\":\"none\",\"status\":200},"
                        + "{\"outcome\":\"failed\",\"reason\":\"task-failed\",\"status\":404,"
                        + "\"contentType\":\"text/plain\",\"body\":\"no lens\"},"
                        + "{\"outcome\":\"failed\",\"reason\":\"task-failed\",\"status\":500},"
                        + "{\"outcome\":\"not-run\",\"reason\":\"task-failed\"}]}"));
    }

    private static JobAnswer failed(List<TaskResult> tasks) {
        return JobAnswer.ended(Optional.of(ID), Outcome.FAILED, Reason.TASK_FAILED, "a task failed")
                .withTasks(tasks);
    }

    @Test
    void jobThatRunsIsPending() {
        HttpResponse response = JobAnswerWriter.JOB.write(JobAnswer.pending(ID));

        assertThat(response.status(), is(202));
        assertThat(response.body().text(), is("{\"submission\":\"" + ID + "\",\"state\":\"pending\"}"));
    }

    @Test
    void refusalIsAProblemDocumentWithSecondsRoundedUp() {
        JobAnswer refused = JobAnswer.ended(Optional.empty(), Outcome.NOT_RUN, Reason.OVER_QUOTA, "too many")
                .retryAfter(1001);

        HttpResponse response = JobAnswerWriter.SINGLE.write(refused);

        assertThat(
                response.headers(),
                contains(new Header("Knapweedmount-Outcome", "not-run"), new Header("Retry-After", "2")));
        assertThat(response.contentType(), is("application/problem+json"));
        assertThat(
                response.body().text(),
                is("{\"type\":\"urn:knapweedmount:problem:over-quota\",\"title\":\"Over quota\",\"status\":429,"
                        + "\"detail\":\"too many\",\"outcome\":\"not-run\",\"reason\":\"over-quota\"}"));
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_RUN, OVERLOADED, 503",
        "NOT_RUN, MALFORMED, 400",
        "NOT_RUN, CANCELLED, 409",
        "FAILED, TASK_FAILED, 502",
        "FAILED, ENDPOINT_UNREACHABLE, 502",
        "FAILED, CANCELLED, 409",
        "UNKNOWN, STORE_UNAVAILABLE, 504",
        "UNKNOWN, CONNECTION_LOST, 504",
        "UNKNOWN, UNKNOWN_SUBMISSION, 404",
    })
    void status503MeansThatNothingRan(Outcome outcome, Reason reason, int status) {
        HttpResponse response = JobAnswerWriter.JOB.write(JobAnswer.ended(Optional.of(ID), outcome, reason, ""));

        assertThat(response.status(), is(status));
    }
}
