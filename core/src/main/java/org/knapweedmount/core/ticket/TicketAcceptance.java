package org.knapweedmount.core.ticket;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.chart.StateChart;
import org.knapweedmount.core.metric.Invariants;

/**
 * Decides step by step on the acceptance of one ticket, following the state chart {@code ticket.json}.
 *
 * <p>A ticket is accepted by one conditional write, which requires the head row to still have the version at which the
 * highest accepted number was read and found lower than the ticket's number. A write whose response was lost may still
 * take effect, but only while the head row has that version. Refusal is therefore certain once the version has changed,
 * and until then repeating the write is safe.
 */
public final class TicketAcceptance {
    private static final StateChart<TicketState, TicketEvent> CHART =
            StateChart.loadBundled("ticket.json", TicketState.class, TicketEvent.class);
    private static final int MAX_WRITES = 5;

    private final Ticket ticket;
    private final Invariants invariants;
    private TicketState state = CHART.initial();
    private long writtenVersion;
    private int writes;

    /**
     * Creates the decision process for a ticket that has not been read or written yet.
     *
     * @param ticket the ticket
     * @param invariants the checker of internal invariants
     */
    public TicketAcceptance(Ticket ticket, Invariants invariants) {
        this.ticket = ticket;
        this.invariants = invariants;
    }

    /**
     * Returns the state of the ticket as known so far.
     *
     * @return the state
     */
    public TicketState state() {
        return state;
    }

    /**
     * Handles the result of a read.
     *
     * @param view the head row and the ticket's row, empty if the table service did not answer
     * @return the next step
     */
    public TicketStep afterRead(Optional<TicketView> view) {
        if (view.isEmpty()) {
            return giveUp();
        }
        TicketView seen = view.get();
        if (seen.acceptedTicket().isPresent()) {
            return handleAccepted(seen.acceptedTicket().get(), seen.headNumber());
        }
        if (state.inDoubt() && writtenVersion != seen.headVersion()) {
            transition(TicketEvent.RULED_OUT);
        }
        if (ticket.number() <= seen.headNumber()) {
            String detail = "ticket number " + ticket.number() + " is not higher than the highest accepted number";
            return refuse(seen.headNumber(), detail);
        }
        if (writes >= MAX_WRITES) {
            return giveUp();
        }
        writes++;
        writtenVersion = seen.headVersion();
        transition(TicketEvent.WRITE_SENT);
        return new TicketStep.Write(seen.headVersion());
    }

    private TicketStep handleAccepted(Ticket accepted, long headNumber) {
        if (!accepted.equals(ticket)) {
            return refuse(headNumber, "a different ticket was already accepted under number " + ticket.number());
        }
        transition(TicketEvent.FOUND);
        return new TicketStep.Done(writes > 0 ? new TicketAnswer.Accepted() : new TicketAnswer.AlreadyAccepted());
    }

    private TicketStep refuse(long headNumber, String detail) {
        transition(TicketEvent.OUTRANKED);
        return new TicketStep.Done(new TicketAnswer.Refused(headNumber, detail));
    }

    /**
     * Handles a validation failure that prevented the requested write.
     *
     * <p>While the result of an earlier write is unknown, the configuration may contain tickets accepted after this
     * one. The ticket is then read again instead of being reported as invalid.
     *
     * @param problems the descriptions of the problems, at least one
     * @return the next step
     */
    public TicketStep validationFailed(List<String> problems) {
        transition(TicketEvent.INVALID);
        return state.inDoubt() ? new TicketStep.Read() : new TicketStep.Done(new TicketAnswer.Invalid(problems));
    }

    /**
     * Handles the result of a write.
     *
     * @param result the result
     * @return the next step
     */
    public TicketStep afterWrite(WriteResult result) {
        return switch (result) {
            case COMMITTED -> {
                transition(TicketEvent.COMMITTED);
                yield new TicketStep.Done(new TicketAnswer.Accepted());
            }
            case CONFLICT -> readAfter(TicketEvent.CONFLICT);
            case UNKNOWN -> readAfter(TicketEvent.ANSWER_LOST);
            case UNAVAILABLE -> giveUp();
        };
    }

    private TicketStep readAfter(TicketEvent event) {
        transition(event);
        return new TicketStep.Read();
    }

    private TicketStep giveUp() {
        transition(TicketEvent.GIVEN_UP);
        if (state.inDoubt()) {
            return new TicketStep.Read();
        }
        boolean unknown = state == TicketState.UNKNOWN;
        return new TicketStep.Done(unknown ? new TicketAnswer.Unknown() : new TicketAnswer.NotAccepted());
    }

    /** Records that the accepted ticket was applied to the configuration of this entry. */
    public void applied() {
        transition(TicketEvent.APPLIED);
    }

    private void transition(TicketEvent event) {
        state = CHART.next(state, event, invariants);
    }
}
