package org.apricotstack.serving.gossip;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.http.ConnectionMaximum;
import org.apricotstack.serving.http.ListeningPort;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.ConnectionCloseCause;

/**
 * The connections that other routers opened. Closes those whose first message does not arrive in time, those that are
 * idle, and the longest idle one for a new one beyond the maximum, first of all one without a whole message.
 */
final class ControlConnections {

    /** Time in which a connection reads what has arrived before it is closed, in milliseconds. */
    private static final long READ_MILLIS = 20;

    private final ServingLoop loop;
    private final ConnectionMaximum maximum;
    private final Consumer<ConnectionCloseCause> onClose;
    private final Set<ControlConnection> withoutMessage = new LinkedHashSet<>();
    private final Set<ControlConnection> longestUnusedFirst = new LinkedHashSet<>();
    private final Set<ControlConnection> leaving = new HashSet<>();

    /** Creates a set without connections; the consumer is told why a connection is closed. */
    ControlConnections(ServingLoop loop, int maxConnections, Consumer<ConnectionCloseCause> onClose) {
        this.loop = loop;
        this.maximum = new ConnectionMaximum(maxConnections);
        this.onClose = onClose;
    }

    /** Adds a new connection, or returns {@code null} if there are too many and none is idle. */
    ControlConnection accept(Channel channel) {
        if (!makeRoom()) {
            onClose.accept(ConnectionCloseCause.TOO_MANY_CONNECTIONS);
            return null;
        }
        ControlConnection connection = new ControlConnection(channel, this, loop.nowMillis());
        withoutMessage.add(connection);
        channel.closeFuture().addListener(closed -> remove(connection));
        return connection;
    }

    /** Returns whether a connection can be accepted, for which the longest idle one may have to be closed. */
    private boolean makeRoom() {
        int open = withoutMessage.size() + longestUnusedFirst.size();
        return maximum.hasRoom(open, leaving.size())
                || maximum.mayReplace(open)
                        && (closeLongestIdle(withoutMessage) || closeLongestIdle(longestUnusedFirst));
    }

    /** Begins to close the longest idle connection of some; returns whether there is one. */
    private boolean closeLongestIdle(Set<ControlConnection> connections) {
        for (ControlConnection connection : connections) {
            if (!leaving.contains(connection) && connection.isIdle(loop.nowMillis())) {
                closeUnlessUsed(connection, ConnectionCloseCause.IDLE_AT_MAXIMUM);
                return true;
            }
        }
        return false;
    }

    /** Closes connections whose timeout has passed, after what has arrived is read. */
    void closeTimedOut() {
        List.copyOf(withoutMessage).forEach(this::closeIfTimedOut);
        List.copyOf(longestUnusedFirst).forEach(this::closeIfTimedOut);
    }

    /** Closes a connection whose timeout has passed. */
    private void closeIfTimedOut(ControlConnection connection) {
        CallerLimits limits = ListeningPort.CONTROL.limits(CallerLimits.DEFAULT);
        ConnectionCloseCause timeout = connection.passedTimeout(limits, loop.nowMillis());
        if (timeout != null) {
            closeUnlessUsed(connection, timeout);
        }
    }

    /** Closes a connection after what has arrived is read, unless a message was among it. */
    private void closeUnlessUsed(ControlConnection connection, ConnectionCloseCause cause) {
        if (leaving.add(connection)) {
            loop.schedule(READ_MILLIS, () -> closeIfStillUnused(connection, cause));
        }
    }

    /** Closes a connection that has not been used since it was chosen. */
    private void closeIfStillUnused(ControlConnection connection, ConnectionCloseCause cause) {
        if (leaving.remove(connection)) {
            onClose.accept(cause);
            connection.channel().close();
        }
    }

    /** Records that a connection was used, and returns the time. */
    long moveToEnd(ControlConnection connection) {
        if (withoutMessage.remove(connection) || longestUnusedFirst.remove(connection)) {
            longestUnusedFirst.add(connection);
        }
        leaving.remove(connection);
        return loop.nowMillis();
    }

    /** Removes a closed connection. */
    private void remove(ControlConnection connection) {
        withoutMessage.remove(connection);
        longestUnusedFirst.remove(connection);
        leaving.remove(connection);
    }
}
