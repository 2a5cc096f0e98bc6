package org.apricotstack.serving.http;

import org.apricotstack.core.id.Address;
import org.apricotstack.serving.observe.UnmatchedResponseCause;
import org.apricotstack.serving.observe.UnmatchedResponseOutcome;

/**
 * A response of an upstream that is not known to belong to the request in flight on its connection.
 *
 * @param upstream address of the upstream
 * @param relay address of the router through which the connection leads, or {@code null} for a direct one
 * @param connection number of the connection, see {@link UpstreamCall#connectionNumber}
 * @param earlierRequests number of requests that the connection carried before the one in flight
 * @param status HTTP status; 0 if it is not decoded
 * @param requestId id of the request in flight; {@code null} if there is none or it has no id
 * @param responseId id in the response, or {@code null}
 * @param cause why the response is not known to belong to the request
 * @param outcome what became of the response
 */
public record UnmatchedResponse(
        Address upstream,
        Address relay,
        long connection,
        long earlierRequests,
        int status,
        String requestId,
        String responseId,
        UnmatchedResponseCause cause,
        UnmatchedResponseOutcome outcome) {}
