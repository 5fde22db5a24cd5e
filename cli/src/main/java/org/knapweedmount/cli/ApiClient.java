package org.knapweedmount.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** An HTTP client for one address of an entry or an agent. */
final class ApiClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
    private final String address;
    private final Duration timeout;

    ApiClient(String address, Duration timeout) {
        this.address = address;
        this.timeout = timeout;
    }

    /**
     * Sends a request and waits for the response.
     *
     * @throws CliException if there is no response; the exit code tells whether the request may have taken effect
     */
    ApiResponse send(ApiRequest request) throws CliException {
        try {
            return toApiResponse(client.send(toHttpRequest(request), BodyHandlers.ofString()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw new CliException(ExitCode.CANNOT_CONNECT, "cannot connect to " + address, e);
        } catch (IOException e) {
            ExitCode exitCode = request.mayChangeState() ? ExitCode.UNKNOWN : ExitCode.CANNOT_CONNECT;
            throw new CliException(exitCode, "no response from " + address + ": " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.UNKNOWN, "interrupted", e);
        }
    }

    private HttpRequest toHttpRequest(ApiRequest request) throws CliException {
        try {
            HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + request.path()))
                    .method(
                            request.method(),
                            BodyPublishers.ofByteArray(request.body().bytes()))
                    .timeout(timeout);
            if (!request.headers().isEmpty()) {
                builder.headers(request.headers().toArray(String[]::new));
            }
            return builder.build();
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage(), e);
        }
    }

    private static ApiResponse toApiResponse(HttpResponse<String> response) {
        return new ApiResponse(
                response.statusCode(),
                header(response, "Knapweedmount-Outcome"),
                header(response, "Knapweedmount-Submission"),
                header(response, "Content-Type"),
                header(response, "Retry-After"),
                response.body());
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }
}
