package org.apricotstack.serving.http;

import org.apricotstack.core.http.HeadViolation;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.observe.UnmatchedResponseCause;
import org.apricotstack.serving.observe.UnmatchedResponseOutcome;

/** Reports the responses on one connection that are not forwarded as they are. */
final class ResponseReporter {

    /** Status of a response that is not decoded. */
    private static final int UNKNOWN_STATUS = 0;

    private final UpstreamConnections pool;
    private final long connection;
    private final Address upstream;
    private final Address relay;
    private String requestId;
    private long requests;

    /** Creates a reporter for a connection through the given router or, if that is {@code null}, a direct one. */
    ResponseReporter(UpstreamConnections pool, long connection, Address upstream, Address relay) {
        this.pool = pool;
        this.connection = connection;
        this.upstream = upstream;
        this.relay = relay;
    }

    /** Records that a request with the given id, or without one if it is {@code null}, is in flight. */
    void requestStarted(String id) {
        requestId = id;
        requests++;
    }

    /** Records that no request is in flight. */
    void requestEnded() {
        requestId = null;
    }

    /** Reports a response that is not known to belong to the request in flight. */
    void unmatched(ResponseHead head, UnmatchedResponseCause cause, UnmatchedResponseOutcome outcome) {
        unmatched(head.status(), head.requestId(), cause, outcome);
    }

    /** Reports a response that is not known to belong to the request in flight, and whose head is not decoded. */
    void undecoded(UnmatchedResponseCause cause, UnmatchedResponseOutcome outcome) {
        unmatched(UNKNOWN_STATUS, null, cause, outcome);
    }

    private void unmatched(
            int status, String responseId, UnmatchedResponseCause cause, UnmatchedResponseOutcome outcome) {
        pool.unmatched(new UnmatchedResponse(
                upstream, relay, connection, requests - 1, status, requestId, responseId, cause, outcome));
    }

    /** Reports a response whose head violates HTTP. */
    void malformed(HeadViolation violation) {
        pool.malformed(new MalformedResponse(upstream, relay, connection, requests - 1, requestId, violation));
    }
}
