package org.apricotstack.adapters.peer;

import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.time.Deadline;

/**
 * Submits a request with a ticket to the process that issued the ticket.
 *
 * @param request the request
 * @param ticket the ticket's text
 * @param work what to run
 * @param deadline when the request must have ended, in the local clock
 */
public record SubmitCommand(RequestId request, String ticket, Work work, Deadline deadline) {}
