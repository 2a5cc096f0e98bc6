package org.apricotstack.adapters.peer;

import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.time.Deadline;

/**
 * A request with a ticket, sent to the process that issued the ticket.
 *
 * @param request the request
 * @param ticket the ticket's text
 * @param work what to run
 * @param deadline when it must have ended, in the clock of the process that holds this value
 */
public record SubmitCommand(RequestId request, String ticket, Work work, Deadline deadline) {}
