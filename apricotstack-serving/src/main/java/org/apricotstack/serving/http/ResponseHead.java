package org.apricotstack.serving.http;

import org.apricotstack.core.notice.UpstreamNotice;

/**
 * Head of an upstream's response.
 *
 * @param status HTTP status
 * @param requestId id of the request that it belongs to, or {@code null}
 * @param sealed whether the response carries the upstream's seal
 * @param notRun whether the upstream states that it has not run the request and will not run it
 * @param wrongInstance whether another instance than the intended one responded
 * @param contentEncoded whether an intermediary may have changed the body, as it has a content encoding
 * @param eventStream whether the body is an event stream
 * @param faultyHelperAddress address of the faulty helper, as {@code IP:PORT}, or {@code null}
 * @param closesConnection whether the connection cannot be reused
 * @param notice limit, drain and back-off that the upstream advertises
 * @param keepAliveMillis time for which the upstream keeps the connection open, in milliseconds; 0 if not specified
 */
public record ResponseHead(
        int status,
        String requestId,
        boolean sealed,
        boolean notRun,
        boolean wrongInstance,
        boolean contentEncoded,
        boolean eventStream,
        String faultyHelperAddress,
        boolean closesConnection,
        UpstreamNotice notice,
        long keepAliveMillis) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /**
     * Returns whether the request succeeded.
     *
     * @return whether the status is 2xx
     */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
