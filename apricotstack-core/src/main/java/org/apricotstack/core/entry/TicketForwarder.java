package org.apricotstack.core.entry;

import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.ticket.Ticket;
import org.apricotstack.core.time.Deadline;
import reactor.core.publisher.Flux;

/** Port: forwards a request with a ticket to the process that issued the ticket. */
@FunctionalInterface
public interface TicketForwarder {

    /**
     * Forwards a request.
     *
     * @param id the request
     * @param ticket its ticket
     * @param work what to run
     * @param deadline the time by which it must have ended, on the local clock
     * @return its events
     */
    Flux<AttemptEvent> forward(RequestId id, Ticket ticket, Work work, Deadline deadline);
}
