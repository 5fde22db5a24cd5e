package org.knapweedmount.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonGenerator;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;

/** Converts the answer to a submission into an HTTP response. */
public enum JobAnswerWriter {
    /**
     * A request to a service: the endpoint's response is passed on unchanged, also if it is a failure.
     *
     * <p>A failure with status 503 gets another status, because clients treat 503 as a refusal without effect and may
     * retry the request.
     */
    SINGLE {
        @Override
        HttpResponse complete(JobAnswer answer) {
            TaskResult result = answer.results().get(0);
            return new HttpResponse(result.status(), result.contentType(), headers(answer), result.body());
        }

        @Override
        HttpResponse notComplete(Problem problem, JobAnswer answer) {
            OptionalInt failed = answer.firstFailed();
            if (failed.isEmpty() || answer.reason() != Reason.TASK_FAILED) {
                return ProblemWriter.write(problem);
            }
            TaskResult result = answer.tasks().get(failed.getAsInt());
            int status = result.status() == Outcome.NOT_RUN.httpStatus() ? problem.status() : result.status();
            return new HttpResponse(status, result.contentType(), headers(answer), result.body())
                    .withHeader(CallerHeaders.ENDPOINT_STATUS, Integer.toString(result.status()));
        }
    },
    /** A job: the results of all tasks in one document. */
    JOB {
        @Override
        HttpResponse complete(JobAnswer answer) {
            return new HttpResponse(OK, HttpResponse.JSON, headers(answer), JsonOutput.object(json -> {
                writeSubmission(json, answer.submission());
                json.writeStringField("outcome", Outcome.COMPLETE.text());
                json.writeArrayFieldStart("results");
                for (TaskResult result : answer.results()) {
                    writeResult(json, result);
                }
                json.writeEndArray();
            }));
        }

        @Override
        HttpResponse notComplete(Problem problem, JobAnswer answer) {
            return ProblemWriter.write(problem, json -> writeTasks(json, answer.tasks()));
        }
    };

    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    /**
     * Converts an answer.
     *
     * @param answer the answer to the submission
     * @return the HTTP response
     */
    public HttpResponse write(JobAnswer answer) {
        if (answer.outcome().isEmpty()) {
            return pending(answer);
        }
        Outcome outcome = answer.outcome().get();
        if (outcome == Outcome.COMPLETE) {
            return complete(answer);
        }
        Problem problem = Problem.of(outcome, answer.reason(), answer.detail())
                .withSubmission(answer.submission())
                .retryAfter(answer.retryAfterMillis());
        return notComplete(problem, answer);
    }

    abstract HttpResponse complete(JobAnswer answer);

    abstract HttpResponse notComplete(Problem problem, JobAnswer answer);

    private static HttpResponse pending(JobAnswer answer) {
        return new HttpResponse(ACCEPTED, HttpResponse.JSON, headers(answer), JsonOutput.object(json -> {
            writeSubmission(json, answer.submission());
            json.writeStringField("state", "pending");
        }));
    }

    private static List<Header> headers(JobAnswer answer) {
        List<Header> headers = new ArrayList<>();
        answer.outcome().ifPresent(outcome -> headers.add(new Header(CallerHeaders.OUTCOME, outcome.text())));
        answer.submission().ifPresent(id -> headers.add(new Header(CallerHeaders.SUBMISSION, id.toString())));
        return headers;
    }

    private static void writeSubmission(JsonGenerator json, Optional<SubmissionId> submission) throws IOException {
        if (submission.isPresent()) {
            json.writeStringField("submission", submission.get().toString());
        }
    }

    private static void writeResult(JsonGenerator json, TaskResult result) throws IOException {
        json.writeStartObject();
        json.writeNumberField("status", result.status());
        writeBody(json, result);
        json.writeEndObject();
    }

    private static void writeTasks(JsonGenerator json, List<TaskResult> tasks) throws IOException {
        if (tasks.isEmpty()) {
            return;
        }
        json.writeArrayFieldStart("tasks");
        for (TaskResult task : tasks) {
            json.writeStartObject();
            json.writeStringField("outcome", task.outcome().text());
            json.writeStringField("reason", task.reason().text());
            if (task.status() > 0) {
                json.writeNumberField("status", task.status());
            }
            if (task.body().size() > 0) {
                writeBody(json, task);
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeBody(JsonGenerator json, TaskResult result) throws IOException {
        json.writeStringField("contentType", result.contentType());
        Optional<String> text = decodeUtf8(result.body());
        if (text.isPresent()) {
            json.writeStringField("body", text.get());
        } else {
            json.writeBinaryField("bodyBase64", result.body().bytes());
        }
    }

    private static Optional<String> decodeUtf8(Payload body) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(body.bytes());
            return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
