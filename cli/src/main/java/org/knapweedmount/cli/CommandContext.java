package org.knapweedmount.cli;

import java.io.PrintStream;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.Payload;

/** The API clients and output streams of a command. */
final class CommandContext {
    private static final String JSON_TYPE = "application/json";

    private final CommonOptions options;
    private final PrintStream out;
    private final PrintStream err;

    CommandContext(CommonOptions options, PrintStream out, PrintStream err) {
        this.options = options;
        this.out = out;
        this.err = err;
    }

    /** Returns a client for the entry's address for callers. */
    ApiClient callerApi() {
        return new ApiClient(options.entry(), options.timeout());
    }

    /** Returns a client for an agent's address for endpoints. */
    ApiClient agentApi(String address) {
        return new ApiClient(address, options.timeout());
    }

    /**
     * Sends a request to the entry's address for operators.
     *
     * @throws CliException if there is no token or no response
     */
    ApiResponse callOperatorApi(ApiRequest request) throws CliException {
        ApiClient api = new ApiClient(options.operators(), options.timeout());
        return api.send(request.withHeader("Authorization", "Bearer " + OperatorToken.read(options.tokenFile())));
    }

    /**
     * Sends a JSON value to the entry's address for operators.
     *
     * @throws CliException if there is no token or no response
     */
    ApiResponse callOperatorApi(String method, String path, JsonNode body) throws CliException {
        return callOperatorApi(ApiRequest.of(method, path).withBody(Payload.of(body.toString()), JSON_TYPE));
    }

    /** Returns whether responses are printed as JSON. */
    boolean isJsonOutput() {
        return options.json();
    }

    /** Prints a line of the result to standard output. */
    void print(String line) {
        out.println(line);
    }

    /** Prints a diagnostic line to standard error. */
    void printDiagnostic(String line) {
        err.println(line);
    }

    /** Prints a response as JSON or text, or as an error, and returns the exit code. */
    ExitCode printResponse(ApiResponse response, Function<JsonNode, String> text) {
        if (isJsonOutput()) {
            out.println(response.body().strip());
        }
        if (!response.isSuccess()) {
            err.println(response.describeProblem());
            return response.errorExitCode();
        }
        if (!isJsonOutput()) {
            out.print(text.apply(response.json()));
        }
        return ExitCode.OK;
    }
}
