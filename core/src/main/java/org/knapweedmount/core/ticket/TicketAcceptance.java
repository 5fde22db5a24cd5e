package org.knapweedmount.core.ticket;

import java.util.Optional;

import org.knapweedmount.api.config.Ticket;

/**
 * Decides step by step what becomes of one ticket.
 *
 * <p>A ticket is accepted by one conditional write: the head row must have the version under which its number was seen
 * to be lower. The write of a ticket whose answer was lost may still take effect, but only as long as the head row has
 * that version. So a refusal is certain once the head row has another one, and sending the same write again is safe
 * until then.
 */
public final class TicketAcceptance {
    private static final int MAX_WRITES = 5;

    private final Ticket ticket;
    private Optional<Long> writtenVersion = Optional.empty();
    private Optional<Long> unknownVersion = Optional.empty();
    private int writes;

    /**
     * Creates the decisions on a ticket, of which nothing is known yet.
     *
     * @param ticket the ticket
     */
    public TicketAcceptance(Ticket ticket) {
        this.ticket = ticket;
    }

    /**
     * Takes what was read.
     *
     * @param view the head row and the ticket's row, empty if the table service could not be asked
     * @return what is to be done next
     */
    public TicketStep afterRead(Optional<TicketView> view) {
        if (view.isEmpty()) {
            return notAccepted();
        }
        TicketView seen = view.get();
        if (seen.present().isPresent()) {
            return new TicketStep.Done(present(seen.present().get(), seen.headNumber()));
        }
        if (unknownVersion.isPresent() && unknownVersion.get() != seen.headVersion()) {
            unknownVersion = Optional.empty();
        }
        if (ticket.number() <= seen.headNumber()) {
            String detail = "number " + ticket.number() + " is not higher than the highest accepted number";
            return new TicketStep.Done(new TicketAnswer.Refused(seen.headNumber(), detail));
        }
        if (writes >= MAX_WRITES) {
            return notAccepted();
        }
        writes++;
        writtenVersion = Optional.of(seen.headVersion());
        return new TicketStep.Write(seen.headVersion());
    }

    private TicketAnswer present(Ticket accepted, long headNumber) {
        if (!accepted.equals(ticket)) {
            String detail = "another ticket was accepted under number " + ticket.number();
            return new TicketAnswer.Refused(headNumber, detail);
        }
        return writes > 0 ? new TicketAnswer.Accepted() : new TicketAnswer.AlreadyAccepted();
    }

    /**
     * Takes the result of a write.
     *
     * @param result the result
     * @return what is to be done next
     */
    public TicketStep afterWrite(WriteResult result) {
        return switch (result) {
            case COMMITTED -> new TicketStep.Done(new TicketAnswer.Accepted());
            case CONFLICT -> new TicketStep.Read();
            case UNAVAILABLE -> unknownVersion.isPresent() ? new TicketStep.Read() : notAccepted();
            case UNKNOWN -> {
                unknownVersion = writtenVersion;
                yield new TicketStep.Read();
            }
        };
    }

    private TicketStep notAccepted() {
        boolean unknown = unknownVersion.isPresent();
        return new TicketStep.Done(unknown ? new TicketAnswer.Unknown() : new TicketAnswer.NotAccepted());
    }
}
