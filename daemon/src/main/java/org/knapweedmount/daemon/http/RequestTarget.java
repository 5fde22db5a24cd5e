package org.knapweedmount.daemon.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.core.config.ObjectNames;

/** The target of a caller's request, determined by its method and path. */
public sealed interface RequestTarget {
    /** The maximum number of IDs issued per request. */
    int MAX_IDS = 1_000;

    /**
     * A request to a service.
     *
     * @param service the service's name
     * @param path the path and query to send to the endpoint
     */
    record ServiceCall(String service, String path) implements RequestTarget {}

    /**
     * Requests submission IDs.
     *
     * @param count the number of IDs
     */
    record IssueIds(int count) implements RequestTarget {}

    /**
     * Submits a job.
     *
     * @param key the key that identifies the submission
     */
    record SubmitJob(SubmissionKey key) implements RequestTarget {}

    /**
     * Requests the state of a job.
     *
     * @param key the key that identifies the submission
     * @param awaitEnd true to answer only when the job has ended
     */
    record JobStatus(SubmissionKey key, boolean awaitEnd) implements RequestTarget {}

    /**
     * Cancels a job.
     *
     * @param key the key that identifies the submission
     */
    record CancelJob(SubmissionKey key) implements RequestTarget {}

    /** A monitoring page of the process. */
    enum ProcessPage implements RequestTarget {
        /** Shows that the process is running. */
        HEALTH,
        /** Shows whether the process accepts requests. */
        READINESS,
        /** Shows the metrics. */
        METRICS
    }

    /**
     * Parses the method and path of a request.
     *
     * @param method the HTTP method
     * @param uri the path and query, percent-encoded
     * @return the target
     * @throws ProblemException if the target does not exist or has an invalid parameter
     */
    static RequestTarget parse(String method, String uri) throws ProblemException {
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        String query = queryStart < 0 ? "" : uri.substring(queryStart + 1);
        if (path.startsWith("/v1/services/")) {
            return serviceCall(path.substring("/v1/services/".length()), query);
        }
        if (path.startsWith("/v1/jobs/")) {
            return job(method, path.substring("/v1/jobs/".length()), query);
        }
        return switch (path) {
            case "/v1/submission-ids" -> issueIds(method, query);
            case "/healthz" -> page(method, ProcessPage.HEALTH);
            case "/readyz" -> page(method, ProcessPage.READINESS);
            case "/metrics" -> page(method, ProcessPage.METRICS);
            default -> throw new ProblemException(Problem.of(HttpFault.NOT_FOUND, "unknown path " + path));
        };
    }

    private static RequestTarget issueIds(String method, String query) throws ProblemException {
        requireMethod(method, Set.of("POST"));
        return new IssueIds(count(query));
    }

    private static RequestTarget serviceCall(String rest, String query) throws ProblemException {
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        if (!ObjectNames.isValid(service)) {
            throw badRequest("invalid service name '" + service + "': expected " + ObjectNames.ALLOWED);
        }
        String path = slash < 0 ? "/" : rest.substring(slash);
        return new ServiceCall(service, query.isEmpty() ? path : path + "?" + query);
    }

    private static RequestTarget job(String method, String rest, String query) throws ProblemException {
        requireMethod(method, Set.of("PUT", "GET", "DELETE"));
        SubmissionKey key = key(rest);
        return switch (method) {
            case "PUT" -> new SubmitJob(key);
            case "DELETE" -> new CancelJob(key);
            default -> new JobStatus(key, awaitEnd(query));
        };
    }

    private static SubmissionKey key(String encoded) throws ProblemException {
        try {
            return SubmissionKey.parse(URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            throw badRequest("the key in the path has an invalid percent-encoding");
        } catch (ParseException e) {
            throw badRequest(e.getMessage());
        }
    }

    private static boolean awaitEnd(String query) throws ProblemException {
        Optional<String> wait = queryParameter(query, "wait");
        if (wait.isEmpty() || wait.get().equals("false")) {
            return false;
        }
        if (!wait.get().equals("true")) {
            throw badRequest("query parameter wait: expected true or false, found '" + wait.get() + "'");
        }
        return true;
    }

    private static int count(String query) throws ProblemException {
        String count = queryParameter(query, "count").orElse("1");
        boolean digits = count.matches("[0-9]{1,4}");
        if (!digits || Integer.parseInt(count) < 1 || Integer.parseInt(count) > MAX_IDS) {
            throw badRequest(
                    "query parameter count: expected a whole number from 1 to " + MAX_IDS + ", found '" + count + "'");
        }
        return Integer.parseInt(count);
    }

    private static Optional<String> queryParameter(String query, String name) {
        for (String part : query.split("&", -1)) {
            if (part.startsWith(name + "=")) {
                return Optional.of(part.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    private static RequestTarget page(String method, ProcessPage page) throws ProblemException {
        requireMethod(method, Set.of("GET", "HEAD"));
        return page;
    }

    private static void requireMethod(String method, Set<String> methods) throws ProblemException {
        if (!methods.contains(method)) {
            String detail = "method " + method + " is not allowed for this path; allowed methods: "
                    + String.join(", ", new TreeSet<>(methods));
            throw new ProblemException(Problem.of(HttpFault.METHOD_NOT_ALLOWED, detail));
        }
    }

    private static ProblemException badRequest(String detail) {
        return new ProblemException(Problem.of(HttpFault.BAD_REQUEST, detail));
    }
}
