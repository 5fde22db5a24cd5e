package org.knapweedmount.cli;

import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;

/** Shows the status of an entry with its agents and queues, or the endpoints of an agent. */
final class StatusCommand implements Command {
    private static final int POLL_INTERVAL_MILLIS = 20;

    @Parameter(
            names = "--await-ticket",
            description =
                    "Wait until this ticket is in force at the entry and all linked processes; exit code 8 on timeout")
    private long awaitedTicket;

    @Parameter(names = "--await-millis", description = "Timeout of the wait for the ticket, in ms")
    private int awaitMillis = 3_000;

    @Parameter(names = "--agent", description = "Show the endpoints of the agent at this HOST:PORT instead")
    private String agent;

    @Parameter(names = "--counters", description = "Also show the counters")
    private boolean counters;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Show the status of an entry, its agents and its queues";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (agent != null) {
            ApiResponse endpoints = context.agentApi(agent).send(ApiRequest.of("GET", "/v1/endpoints"));
            return context.printResponse(endpoints, StatusFormatter::endpoints);
        }
        long startNanos = System.nanoTime();
        ApiResponse response = requestStatus(context);
        while (isTicketPending(response) && !hasTimedOut(startNanos, System.nanoTime())) {
            pause();
            response = requestStatus(context);
        }
        ExitCode exitCode = context.printResponse(response, status -> StatusFormatter.format(status, counters));
        if (exitCode != ExitCode.OK || !isTicketPending(response)) {
            return exitCode;
        }
        context.printDiagnostic("ticket " + awaitedTicket + " is not in force at all processes yet");
        return ExitCode.PENDING;
    }

    private static ApiResponse requestStatus(CommandContext context) throws CliException {
        return context.callOperatorApi(ApiRequest.of("GET", "/v1/status"));
    }

    private boolean isTicketPending(ApiResponse response) {
        return response.isSuccess() && !inForce(response.json(), awaitedTicket);
    }

    /** Returns whether a ticket is in force at the entry and at all processes linked to it. */
    static boolean inForce(JsonNode status, long ticket) {
        return status.path("configNumber").asLong() >= ticket
                && allInForce(status.path("entries"), ticket)
                && allInForce(status.path("agents"), ticket);
    }

    private static boolean allInForce(JsonNode processes, long ticket) {
        for (JsonNode process : processes) {
            if (process.path("configNumber").asLong() < ticket) {
                return false;
            }
        }
        return true;
    }

    private boolean hasTimedOut(long startNanos, long nowNanos) {
        return Duration.ofNanos(nowNanos - startNanos).toMillis() >= awaitMillis;
    }

    private static void pause() throws CliException {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.PENDING, "interrupted", e);
        }
    }
}
