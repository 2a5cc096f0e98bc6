package org.apricotstack.core.route;

/**
 * Limits on the size and duration of what a caller sends.
 *
 * @param headerBytes maximum size of the request line and headers, in bytes
 * @param bodyBytes maximum size of the body, in bytes
 * @param headerTimeoutMillis time-out for receiving the headers, in milliseconds
 * @param idleTimeoutMillis time-out of a connection without a request, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Defaults, in force until a configuration replaces them. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

    /**
     * Returns the larger one of each limit.
     *
     * @param other other limits
     * @return limits that allow what either ones allow
     */
    public CallerLimits larger(CallerLimits other) {
        if (equals(other)) {
            return this;
        }
        return new CallerLimits(
                Math.max(headerBytes, other.headerBytes),
                Math.max(bodyBytes, other.bodyBytes),
                Math.max(headerTimeoutMillis, other.headerTimeoutMillis),
                Math.max(idleTimeoutMillis, other.idleTimeoutMillis));
    }
}
