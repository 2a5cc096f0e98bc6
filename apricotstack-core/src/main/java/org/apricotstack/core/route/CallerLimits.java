package org.apricotstack.core.route;

/**
 * Bounds what a caller may send and how long it may take.
 *
 * @param headerBytes longest request line and headers, in bytes
 * @param bodyBytes longest body, in bytes
 * @param headerTimeoutMillis time that a caller may take for the headers, in milliseconds
 * @param idleTimeoutMillis time that a connection may stay without a request, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** In force until a configuration says otherwise. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
