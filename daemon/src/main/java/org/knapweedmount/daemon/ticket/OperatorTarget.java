package org.knapweedmount.daemon.ticket;

import java.util.Arrays;

import org.knapweedmount.daemon.http.HttpFault;
import org.knapweedmount.daemon.http.Problem;
import org.knapweedmount.daemon.http.ProblemException;

/** The target of an operator's request, determined by its method and path. */
sealed interface OperatorTarget {
    /** The maximum number of rows in one response. */
    int MAX_LIMIT = 500;

    /** The number of rows in the response if the request has no limit parameter. */
    int DEFAULT_LIMIT = 50;

    /** Accepts a ticket. */
    record PutTicket(long number) implements OperatorTarget {}

    /** Shows an accepted ticket. */
    record ShowTicket(long number) implements OperatorTarget {}

    /** Lists the newest tickets. */
    record ListTickets(int limit) implements OperatorTarget {}

    /** Shows the audit trail. */
    record ShowAudit(int limit) implements OperatorTarget {}

    /** Shows the state of this entry. */
    record ShowStatus() implements OperatorTarget {}

    /** Drains this entry. */
    record Drain() implements OperatorTarget {}

    /**
     * Parses the method and path of a request.
     *
     * @param method the HTTP method
     * @param uri the path and query
     * @return the target
     * @throws ProblemException if the target does not exist or has an invalid parameter
     */
    static OperatorTarget parse(String method, String uri) throws ProblemException {
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        String query = queryStart < 0 ? "" : uri.substring(queryStart + 1);
        if (path.startsWith("/v1/tickets/")) {
            return ticket(method, path.substring("/v1/tickets/".length()));
        }
        return switch (path) {
            case "/v1/tickets" -> requireGet(method, new ListTickets(limit(query)));
            case "/v1/audit" -> requireGet(method, new ShowAudit(limit(query)));
            case "/v1/status" -> requireGet(method, new ShowStatus());
            case "/v1/drain" -> drain(method);
            default -> throw new ProblemException(Problem.of(HttpFault.NOT_FOUND, "unknown path " + path));
        };
    }

    private static OperatorTarget ticket(String method, String text) throws ProblemException {
        if (!text.matches("[1-9][0-9]{0,17}")) {
            String detail = "invalid ticket number '" + text + "': expected 1 to 18 digits without a leading 0";
            throw new ProblemException(Problem.of(HttpFault.BAD_REQUEST, detail));
        }
        long number = Long.parseLong(text);
        return switch (method) {
            case "PUT" -> new PutTicket(number);
            case "GET" -> new ShowTicket(number);
            default -> throw notAllowed(method, "GET, PUT");
        };
    }

    private static OperatorTarget requireGet(String method, OperatorTarget target) throws ProblemException {
        if (!method.equals("GET")) {
            throw notAllowed(method, "GET");
        }
        return target;
    }

    private static OperatorTarget drain(String method) throws ProblemException {
        if (!method.equals("POST")) {
            throw notAllowed(method, "POST");
        }
        return new Drain();
    }

    private static int limit(String query) throws ProblemException {
        String text = Arrays.stream(query.split("&", -1))
                .filter(part -> part.startsWith("limit="))
                .map(part -> part.substring("limit=".length()))
                .findFirst()
                .orElse(Integer.toString(DEFAULT_LIMIT));
        boolean inRange = text.matches("[1-9][0-9]{0,2}") && Integer.parseInt(text) <= MAX_LIMIT;
        if (!inRange) {
            String detail =
                    "query parameter limit: expected a whole number from 1 to " + MAX_LIMIT + ", found '" + text + "'";
            throw new ProblemException(Problem.of(HttpFault.BAD_REQUEST, detail));
        }
        return Integer.parseInt(text);
    }

    private static ProblemException notAllowed(String method, String allowedMethods) {
        String detail = "method " + method + " is not allowed for this path; allowed methods: " + allowedMethods;
        return new ProblemException(Problem.of(HttpFault.METHOD_NOT_ALLOWED, detail));
    }
}
