package org.apricotstack.serving.http;

import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.observe.ConnectionCloseCause;

/**
 * Measures how long a connection has waited for a request, its headers or its body, and knows the limits of what it
 * waits for.
 *
 * <p>A smaller limit of a new configuration applies only to what begins under it: a caller reuses an idle connection
 * for as long as the timeout that it knows.
 */
final class ReceiveTimer {

    private final CallerServer server;
    private long startMillis;
    private CallerLimits startLimits;

    /** Creates a timer that starts now. */
    ReceiveTimer(CallerServer server) {
        this.server = server;
        restart();
    }

    /** Starts anew, under the limits now in force. */
    void restart() {
        startLimits = server.limits();
        proceed();
    }

    /** Starts anew, under the limits with which it was last restarted. */
    void proceed() {
        startMillis = server.nowMillis();
    }

    /** Returns whether the timeout that the cause names has passed: the longer one of the start and of now. */
    boolean hasPassed(ConnectionCloseCause timeout, long nowMillis) {
        return nowMillis - startMillis > timeoutMillis(timeout, limits());
    }

    /** Returns the larger limits of those of the start and those in force now. */
    CallerLimits limits() {
        return startLimits.larger(server.limits());
    }

    /** Returns the timeout that applies to a connection, or {@code null} while a response is due. */
    static ConnectionCloseCause timeout(
            CallerExchange exchange, boolean bodyComplete, boolean unwritten, boolean headArriving) {
        if (exchange != null) {
            return bodyComplete ? null : ConnectionCloseCause.BODY_TIMEOUT;
        }
        if (unwritten) {
            return ConnectionCloseCause.RESPONSE_UNREAD;
        }
        return headArriving ? ConnectionCloseCause.HEADER_TIMEOUT : ConnectionCloseCause.IDLE_TIMEOUT;
    }

    /** Returns the timeout that the cause names. */
    private static long timeoutMillis(ConnectionCloseCause timeout, CallerLimits limits) {
        return timeout == ConnectionCloseCause.HEADER_TIMEOUT
                ? limits.headerTimeoutMillis()
                : limits.idleTimeoutMillis();
    }
}
