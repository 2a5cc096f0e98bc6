package org.apricotstack.serving.http;

import io.netty.channel.Channel;
import org.apricotstack.core.id.Address;

/**
 * An established connection.
 *
 * @param channel the channel, without handlers for its protocol
 * @param relay the router through which it leads, or {@code null} if it is direct
 */
public record OpenedConnection(Channel channel, Address relay) {

    /**
     * Returns whether the connection leads through another router.
     *
     * @return {@code false} if it is direct
     */
    public boolean isRelayed() {
        return relay != null;
    }
}
