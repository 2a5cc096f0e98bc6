package org.apricotstack.adapters.caller;

import java.util.List;

import org.apricotstack.core.entry.EntryRequest;
import org.apricotstack.core.entry.EntryService.Submission;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.ticket.Ticket;

/** What a router does for callers. */
public interface CallerEndpoint {

    /**
     * Tells which addresses to use.
     *
     * @param callerIp the caller's IP number, so that callers spread over the hosts
     * @return addresses, the best first, and how long to keep them
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
     * Takes a request.
     *
     * @param request the request
     * @return its name and its answer
     */
    Submission submit(EntryRequest request);

    /**
     * Returns the longest body that is taken now.
     *
     * @return bytes
     */
    long maxBodyBytes();

    /**
     * Addresses for a caller.
     *
     * @param addresses the best first
     * @param keepMillis how long to keep them, in milliseconds
     */
    record EntryAnswer(List<Address> addresses, long keepMillis) {}

    /**
     * A ticket for a caller.
     *
     * @param ticket the ticket
     * @param validMillis how long it may be spent, in milliseconds
     */
    record IssuedTicket(Ticket ticket, long validMillis) {}
}
