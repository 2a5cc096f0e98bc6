package org.apricotstack.serving.http;

import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.observe.ConnectionCloseCause;

/** Measures how long a connection has waited for a request, its headers or its body. */
final class ReceiveTimer {

    private final CallerServer server;
    private long startMillis;

    /** Creates a timer that starts now. */
    ReceiveTimer(CallerServer server) {
        this.server = server;
        restart();
    }

    /** Starts anew. */
    void restart() {
        startMillis = server.nowMillis();
    }

    /** Returns whether the timeout that the cause names has passed. */
    boolean hasPassed(ConnectionCloseCause timeout, long nowMillis) {
        return nowMillis - startMillis > timeoutMillis(timeout, server.limits());
    }

    /** Returns the timeout that the cause names. */
    private static long timeoutMillis(ConnectionCloseCause timeout, CallerLimits limits) {
        return timeout == ConnectionCloseCause.HEADER_TIMEOUT
                ? limits.headerTimeoutMillis()
                : limits.idleTimeoutMillis();
    }
}
