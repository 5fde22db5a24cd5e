package org.knapweedmount.daemon.ticket;

import java.util.Optional;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.core.ticket.TicketAnswer;
import org.knapweedmount.daemon.http.HttpFault;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.JsonOutput;
import org.knapweedmount.daemon.http.Problem;
import org.knapweedmount.daemon.http.ProblemWriter;

/** Converts the answer to a ticket into an HTTP response. */
final class TicketAnswerWriter {
    private static final int OK = 200;
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private TicketAnswerWriter() {}

    static HttpResponse write(long number, TicketAnswer answer) {
        Optional<Problem> problem = problem(answer);
        if (problem.isPresent()) {
            return ProblemWriter.write(problem.get());
        }
        return HttpResponse.of(OK, HttpResponse.JSON, JsonOutput.object(json -> {
            json.writeNumberField("number", number);
            json.writeStringField("state", "accepted");
        }));
    }

    private static Optional<Problem> problem(TicketAnswer answer) {
        if (answer instanceof TicketAnswer.Refused refused) {
            return Optional.of(
                    Problem.of(Reason.CONFLICT, refused.detail()).withHighestTicketNumber(refused.highest()));
        }
        if (answer instanceof TicketAnswer.Invalid invalid) {
            return Optional.of(Problem.of(Reason.MALFORMED, String.join("; ", invalid.problems())));
        }
        if (answer instanceof TicketAnswer.NotAccepted) {
            String detail = "the ticket was not accepted: the table service is unavailable"
                    + " or too many tickets wait at this entry";
            return Optional.of(Problem.of(Reason.STORE_UNAVAILABLE, detail)
                    .retryAfter(RETRY_AFTER_MILLIS)
                    .withOutcome(Outcome.NOT_RUN));
        }
        if (answer instanceof TicketAnswer.Unknown) {
            return Optional.of(unknown());
        }
        return Optional.empty();
    }

    private static Problem unknown() {
        String detail = "the answer of the table service was lost, so the ticket may have been accepted;"
                + " send it again with the same number and content";
        return Problem.of(HttpFault.UNAVAILABLE, detail)
                .retryAfter(RETRY_AFTER_MILLIS)
                .withOutcomeKeepingStatus(Outcome.UNKNOWN);
    }
}
