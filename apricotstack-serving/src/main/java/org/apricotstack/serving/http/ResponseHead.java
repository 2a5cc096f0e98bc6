package org.apricotstack.serving.http;

import org.apricotstack.core.notice.UpstreamNotice;

/**
 * What the beginning of an upstream's answer says.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers, or {@code null}
 * @param sealed whether it carries the upstream's seal
 * @param notRun whether the upstream says that it has not run the request and will not
 * @param wrongInstance whether another upstream than the one that was meant answered
 * @param contentEncoded whether the body is not as the upstream made it
 * @param eventStream whether the body is a series of events
 * @param faultyHelperAddress address of the helper at fault, as {@code IP:PORT}, or {@code null}
 * @param closesConnection whether the connection cannot be used again
 * @param notice what it says of the upstream itself
 * @param keepAliveMillis time for which the upstream keeps the connection, in milliseconds; 0 if it does not say
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
     * Tells whether it is a success.
     *
     * @return whether the status is 2xx
     */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
