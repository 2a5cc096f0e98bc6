package org.apricotstack.serving.http;

/**
 * The maximum of open connections at a port, and by how much it may be exceeded while idle connections make room.
 *
 * @param connections maximum number of connections that stay open
 */
public record ConnectionMaximum(int connections) {

    /** Part of the maximum by which it may be exceeded. */
    private static final int EXCESS_DIVISOR = 8;

    /**
     * Returns whether a connection can be accepted without closing another one.
     *
     * @param open number of open connections
     * @param leaving number of open connections that are about to be closed
     * @return whether there is room
     */
    public boolean hasRoom(int open, int leaving) {
        return open - leaving < connections;
    }

    /**
     * Returns whether a connection can be accepted if an idle one is going to be closed for it.
     *
     * @param open number of open connections
     * @return {@code false} if the maximum is already exceeded by as much as it may be
     */
    public boolean mayReplace(int open) {
        return open < connections + Math.max(1, connections / EXCESS_DIVISOR);
    }
}
