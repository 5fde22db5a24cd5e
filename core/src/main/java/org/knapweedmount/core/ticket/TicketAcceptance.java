package org.knapweedmount.core.ticket;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.core.chart.StateChart;
import org.knapweedmount.core.metric.Invariants;

/**
 * Decides step by step what becomes of one ticket, along the state chart {@code ticket.json}.
 *
 * <p>A ticket is accepted by one conditional write: the head row must have the version under which its number was seen
 * to be lower. The write of a ticket whose answer was lost may still take effect, but only as long as the head row has
 * that version. So a refusal is certain once the head row has another one, and sending the same write again is safe
 * until then.
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
     * Creates the decisions on a ticket, of which nothing is known yet.
     *
     * @param ticket the ticket
     * @param invariants checks of the program itself
     */
    public TicketAcceptance(Ticket ticket, Invariants invariants) {
        this.ticket = ticket;
        this.invariants = invariants;
    }

    /**
     * Returns what is known of the ticket.
     *
     * @return its state
     */
    public TicketState state() {
        return state;
    }

    /**
     * Takes what was read.
     *
     * @param view the head row and the ticket's row, empty if the table service could not be asked
     * @return what is to be done next
     */
    public TicketStep afterRead(Optional<TicketView> view) {
        if (view.isEmpty()) {
            return giveUp();
        }
        TicketView seen = view.get();
        if (seen.present().isPresent()) {
            return present(seen.present().get(), seen.headNumber());
        }
        if (state.inDoubt() && writtenVersion != seen.headVersion()) {
            step(TicketEvent.RULED_OUT);
        }
        if (ticket.number() <= seen.headNumber()) {
            String detail = "number " + ticket.number() + " is not higher than the highest accepted number";
            return refuse(seen.headNumber(), detail);
        }
        if (writes >= MAX_WRITES) {
            return giveUp();
        }
        writes++;
        writtenVersion = seen.headVersion();
        step(TicketEvent.WRITE_SENT);
        return new TicketStep.Write(seen.headVersion());
    }

    private TicketStep present(Ticket accepted, long headNumber) {
        if (!accepted.equals(ticket)) {
            return refuse(headNumber, "another ticket was accepted under number " + ticket.number());
        }
        step(TicketEvent.FOUND);
        return new TicketStep.Done(writes > 0 ? new TicketAnswer.Accepted() : new TicketAnswer.AlreadyAccepted());
    }

    private TicketStep refuse(long headNumber, String detail) {
        step(TicketEvent.OUTRANKED);
        return new TicketStep.Done(new TicketAnswer.Refused(headNumber, detail));
    }

    /**
     * Takes what was found wrong with the ticket in place of its write.
     *
     * <p>While an earlier write is in doubt, the configuration may hold tickets that were accepted after this one, so that
     * the ticket is read again instead of being told as not accepted.
     *
     * @param problems a sentence for each problem, at least one
     * @return what is to be done next
     */
    public TicketStep validationFailed(List<String> problems) {
        step(TicketEvent.INVALID);
        return state.inDoubt() ? new TicketStep.Read() : new TicketStep.Done(new TicketAnswer.Invalid(problems));
    }

    /**
     * Takes the result of a write.
     *
     * @param result the result
     * @return what is to be done next
     */
    public TicketStep afterWrite(WriteResult result) {
        return switch (result) {
            case COMMITTED -> {
                step(TicketEvent.COMMITTED);
                yield new TicketStep.Done(new TicketAnswer.Accepted());
            }
            case CONFLICT -> readAfter(TicketEvent.CONFLICT);
            case UNKNOWN -> readAfter(TicketEvent.ANSWER_LOST);
            case UNAVAILABLE -> giveUp();
        };
    }

    private TicketStep readAfter(TicketEvent event) {
        step(event);
        return new TicketStep.Read();
    }

    private TicketStep giveUp() {
        step(TicketEvent.GIVEN_UP);
        if (state.inDoubt()) {
            return new TicketStep.Read();
        }
        boolean unknown = state == TicketState.UNKNOWN;
        return new TicketStep.Done(unknown ? new TicketAnswer.Unknown() : new TicketAnswer.NotAccepted());
    }

    /** Takes note that the accepted ticket was applied to the configuration of this entry. */
    public void applied() {
        step(TicketEvent.APPLIED);
    }

    private void step(TicketEvent event) {
        state = CHART.next(state, event, invariants);
    }
}
