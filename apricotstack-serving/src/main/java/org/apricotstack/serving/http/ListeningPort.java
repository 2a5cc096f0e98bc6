package org.apricotstack.serving.http;

import org.apricotstack.core.route.CallerLimits;

/** The ports on which a router listens, with the limits of their connections. */
public enum ListeningPort {
    /** Takes requests of callers. */
    CALLERS(Limits.CONFIGURED, 0.6, Integer.MAX_VALUE),
    /** Tells callers the addresses of routers. */
    DIRECTORY(Limits.CONFIGURED, 0.15, 512),
    /** Tells the platform whether the router is ready. */
    READINESS(CallerLimits.DEFAULT, 0.02, 64),
    /** Tells the metrics; its idle time is longer than the usual intervals between two readings. */
    METRICS(Limits.lasting(3_000, 120_000), 0.02, 64),
    /**
     * Takes state updates of other routers and connections to be relayed. Its idle time is long, as the sender of
     * updates suspects this router when its connection is closed.
     */
    CONTROL(Limits.lasting(5_000, 600_000), 0.2, Integer.MAX_VALUE);

    /** Least maximum of open connections, which a process with few descriptors has, too. */
    static final int MIN_CONNECTIONS = 8;

    private final CallerLimits fixedLimits;
    private final double socketShare;
    private final int maxConnections;

    /** Creates a port; without limits of its own, those of the configuration apply. */
    ListeningPort(CallerLimits fixedLimits, double socketShare, int maxConnections) {
        this.fixedLimits = fixedLimits;
        this.socketShare = socketShare;
        this.maxConnections = maxConnections;
    }

    /**
     * Returns the limits for what arrives at the port.
     *
     * @param configured the limits of the configuration in force
     * @return the configured ones at the ports for callers, the port's own ones otherwise
     */
    public CallerLimits limits(CallerLimits configured) {
        return fixedLimits == Limits.CONFIGURED ? configured : fixedLimits;
    }

    /**
     * Returns whether the limits are those of the configuration in force.
     *
     * @return {@code false} if the port has its own ones
     */
    public boolean isConfigurable() {
        return fixedLimits == Limits.CONFIGURED;
    }

    /**
     * Returns the maximum of open connections.
     *
     * @param maxSockets maximum number of open sockets of the process
     * @return connections
     */
    public int maxConnections(int maxSockets) {
        return Math.max(MIN_CONNECTIONS, Math.min(maxConnections, (int) (maxSockets * socketShare)));
    }

    /** Sources of limits. */
    private static final class Limits {

        /** The limits of the configuration in force. */
        private static final CallerLimits CONFIGURED = null;

        /** Returns the default sizes with other times, in milliseconds. */
        private static CallerLimits lasting(long headerTimeoutMillis, long idleTimeoutMillis) {
            return new CallerLimits(
                    CallerLimits.DEFAULT.headerBytes(),
                    CallerLimits.DEFAULT.bodyBytes(),
                    headerTimeoutMillis,
                    idleTimeoutMillis);
        }
    }
}
