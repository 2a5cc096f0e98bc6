package org.apricotstack.serving.http;

import org.apricotstack.core.http.HeadViolation;
import org.apricotstack.core.id.Address;

/**
 * A response of an upstream whose head violates HTTP, so that nothing in it is used.
 *
 * @param upstream address of the upstream
 * @param relay address of the router through which the connection leads, or {@code null} for a direct one
 * @param connection number of the connection, see {@link UpstreamCall#connectionNumber}
 * @param earlierRequests number of requests that the connection carried before the one in flight
 * @param requestId id of the request in flight; {@code null} if there is none or it has no id
 * @param violation what the head violates
 */
public record MalformedResponse(
        Address upstream,
        Address relay,
        long connection,
        long earlierRequests,
        String requestId,
        HeadViolation violation) {}
