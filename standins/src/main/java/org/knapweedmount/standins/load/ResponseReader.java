package org.knapweedmount.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.knapweedmount.api.Outcome;

/** Parses the responses of entries and checks that each is complete and belongs to its request. */
final class ResponseReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ResponseReader() {}

    /**
     * Parses the response to a single request.
     *
     * @param request the request that was sent
     * @param outcome the outcome header, null if missing
     * @param submission the submission ID header, null if missing
     * @param body the response body
     * @return the result
     */
    static RequestResult readSingle(PlannedRequest request, String outcome, String submission, byte[] body) {
        Optional<Outcome> stated = outcome(outcome);
        JsonNode json = json(body);
        String id = submission == null ? "" : submission;
        if (stated.isEmpty()) {
            return new RequestResult(RequestOutcome.WRONG, "no outcome", id);
        }
        if (stated.get() != Outcome.COMPLETE) {
            return new RequestResult(
                    RequestOutcome.of(stated.get()), json.path("reason").asText(), id);
        }
        return echoes(json, request, 0)
                ? new RequestResult(RequestOutcome.COMPLETE, "", id)
                : new RequestResult(RequestOutcome.WRONG, "other body", id);
    }

    /**
     * Parses the response to a job.
     *
     * @param request the request that was sent
     * @param body the response body
     * @return the result
     */
    static RequestResult readJob(PlannedRequest request, byte[] body) {
        JsonNode json = json(body);
        Optional<Outcome> stated = outcome(json.path("outcome").textValue());
        String id = json.path("submission").asText();
        JsonNode results = json.path("results");
        if (stated.isEmpty()) {
            return new RequestResult(RequestOutcome.WRONG, "no outcome", id);
        }
        if (stated.get() != Outcome.COMPLETE) {
            return results.isEmpty()
                    ? new RequestResult(
                            RequestOutcome.of(stated.get()), json.path("reason").asText(), id)
                    : new RequestResult(RequestOutcome.WRONG, "results in part", id);
        }
        if (results.size() != request.tasks().size()) {
            return new RequestResult(RequestOutcome.WRONG, "results in part", id);
        }
        for (int i = 0; i < results.size(); i++) {
            JsonNode result = json(results.get(i).path("body").asText().getBytes(StandardCharsets.UTF_8));
            if (!echoes(result, request, i)) {
                return new RequestResult(RequestOutcome.WRONG, "other body", id);
            }
        }
        return new RequestResult(RequestOutcome.COMPLETE, "", id);
    }

    private static boolean echoes(JsonNode response, PlannedRequest request, int index) {
        return response.path("echo").asText().equals(request.body(index));
    }

    private static Optional<Outcome> outcome(String text) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.text().equals(text)) {
                return Optional.of(outcome);
            }
        }
        return Optional.empty();
    }

    private static JsonNode json(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }
}
