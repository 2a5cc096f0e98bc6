package org.apricotstack.serving.relay;

import io.netty.channel.Channel;

/** Two joined connections: one from another router, and one to the upstream. */
final class RelayedConnection {

    private final Channel router;
    private final Channel upstream;
    private final ConnectionUse use;
    private boolean requestSent;
    private boolean responseStarted;
    private long lastMillis;

    /** Creates a connection on which nothing was relayed. */
    RelayedConnection(Channel router, Channel upstream, ConnectionUse use, long nowMillis) {
        this.router = router;
        this.upstream = upstream;
        this.use = use;
        this.lastMillis = nowMillis;
    }

    /** Records that bytes of a request were relayed. */
    void requestRelayed(long nowMillis) {
        requestSent = true;
        responseStarted = false;
        lastMillis = nowMillis;
        use.used();
    }

    /** Records that bytes of a response were relayed. */
    void responseRelayed(long nowMillis) {
        responseStarted = true;
        lastMillis = nowMillis;
        use.used();
    }

    /** Returns whether a response may be outstanding, or did not pause for the given time yet. */
    boolean inUse(long pauseMillis, long nowMillis) {
        boolean waits = requestSent && !responseStarted;
        return waits || nowMillis - lastMillis < pauseMillis;
    }

    /** Closes both connections. */
    void close() {
        router.close();
        upstream.close();
    }
}
