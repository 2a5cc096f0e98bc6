package org.apricotstack.serving.http;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

import org.apricotstack.serving.observe.ConnectionCloseCause;

/** The connections of a server on which no request has begun to arrive, the longest idle one first. */
final class IdleConnections {

    private final Set<CallerConnection> inOrder = new LinkedHashSet<>();
    private final Set<CallerConnection> leaving = new HashSet<>();

    /** Adds a connection that is idle from now on. */
    void add(CallerConnection connection) {
        remove(connection);
        inOrder.add(connection);
    }

    /** Removes a connection that is closed, or on which a request has begun to arrive. */
    void remove(CallerConnection connection) {
        inOrder.remove(connection);
        leaving.remove(connection);
    }

    /** Returns the number of connections that are going to be closed unless a request arrives on them. */
    int leaving() {
        return leaving.size();
    }

    /** Returns whether a connection is going to be closed, and no request has begun to arrive since. */
    boolean isLeaving(CallerConnection connection) {
        return leaving.contains(connection);
    }

    /** Closes the longest idle connection after what has arrived is read; returns whether there is one. */
    boolean closeLongestIdle() {
        for (CallerConnection connection : inOrder) {
            if (connection.isIdle() && !connection.isUnsettled()) {
                inOrder.remove(connection);
                leaving.add(connection);
                connection.closeIfIdle(ConnectionCloseCause.IDLE_AT_MAXIMUM);
                return true;
            }
        }
        return false;
    }
}
