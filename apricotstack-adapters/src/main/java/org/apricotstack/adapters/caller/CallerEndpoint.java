package org.apricotstack.adapters.caller;

import java.util.List;

import org.apricotstack.core.entry.EntryRequest;
import org.apricotstack.core.entry.EntryService.Submission;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.ticket.Ticket;

/** Handles the requests of callers. */
public interface CallerEndpoint {

    /**
     * Returns the routers that a caller should use.
     *
     * @param callerIp the caller's IP address, by which callers are distributed over the routers
     * @return addresses in order of preference, and how long the caller may cache them
     */
    EntryAnswer entries(String callerIp);

    /**
     * Issues a ticket.
     *
     * @param keyDigest SHA-256 of the caller's key, or {@code null}
     * @return the ticket
     */
    IssuedTicket issueTicket(String keyDigest);

    /**
     * Submits a request.
     *
     * @param request the request
     * @return its id and its answer
     */
    Submission submit(EntryRequest request);

    /**
     * Returns the current size limit of request bodies.
     *
     * @return the limit in bytes
     */
    long maxBodyBytes();

    /**
     * The routers that a caller should use.
     *
     * @param addresses their addresses in order of preference
     * @param keepMillis how long the caller may cache them, in milliseconds
     */
    record EntryAnswer(List<Address> addresses, long keepMillis) {}

    /**
     * A ticket for a caller.
     *
     * @param ticket the ticket
     * @param validMillis how long the ticket is valid, in milliseconds
     */
    record IssuedTicket(Ticket ticket, long validMillis) {}
}
