package org.apricotstack.serving.gossip;

import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.apricotstack.serving.relay.ConnectionUse;

/** A connection that another router opened: a gossip stream, or one that is relayed to an upstream. */
final class ControlConnection implements ConnectionUse {

    /** Longest interval between two heartbeats of a router in touch, in milliseconds. */
    private static final long MAX_HEARTBEAT_INTERVAL_MILLIS = 15_000;

    private final Channel channel;
    private final ControlConnections all;
    private BooleanSupplier inUse = () -> false;
    private boolean messageReceived;
    private long lastMillis;

    /** Creates a connection on which nothing has arrived. */
    ControlConnection(Channel channel, ControlConnections all, long nowMillis) {
        this.channel = channel;
        this.all = all;
        this.lastMillis = nowMillis;
    }

    /** Returns the channel. */
    Channel channel() {
        return channel;
    }

    @Override
    public void used() {
        messageReceived = true;
        lastMillis = all.moveToEnd(this);
    }

    @Override
    public void inUseWhile(BooleanSupplier condition) {
        inUse = condition;
    }

    /** Returns whether a response may be outstanding on the connection. */
    private boolean isInUse() {
        return inUse.getAsBoolean();
    }

    /** Returns whether the connection may be closed for a new one: nothing is due on it, and it was not used lately. */
    boolean isIdle(long nowMillis) {
        boolean usedLately = messageReceived && nowMillis - lastMillis <= MAX_HEARTBEAT_INTERVAL_MILLIS;
        return !usedLately && !isInUse();
    }

    /** Returns the timeout that has passed, or {@code null} if none has. */
    ConnectionCloseCause passedTimeout(CallerLimits limits, long nowMillis) {
        if (isInUse()) {
            return null;
        }
        long timeoutMillis = messageReceived ? limits.idleTimeoutMillis() : limits.headerTimeoutMillis();
        if (nowMillis - lastMillis <= timeoutMillis) {
            return null;
        }
        return messageReceived ? ConnectionCloseCause.IDLE_TIMEOUT : ConnectionCloseCause.HEADER_TIMEOUT;
    }
}
