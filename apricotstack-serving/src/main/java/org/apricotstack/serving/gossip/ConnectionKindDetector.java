package org.apricotstack.serving.gossip;

import java.net.InetSocketAddress;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import org.apricotstack.serving.relay.ConnectionUse;
import org.apricotstack.serving.relay.RelayFraming;
import org.apricotstack.serving.relay.RelayServer;

/** Tells relayed connections from gossip streams by their first bytes, and sets up their handlers. */
final class ConnectionKindDetector extends ByteToMessageDecoder {

    private final RelayServer relays;
    private final ConnectionUse use;

    /** Creates the detector of one connection, whose pipeline is that of a gossip stream. */
    ConnectionKindDetector(RelayServer relays, ConnectionUse use) {
        this.relays = relays;
        this.use = use;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        ChannelPipeline pipeline = context.pipeline();
        if (RelayFraming.isRequest(in)) {
            removeOthers(pipeline);
            String remoteIp = ((InetSocketAddress) context.channel().remoteAddress())
                    .getAddress()
                    .getHostAddress();
            pipeline.addLast(relays.handler(remoteIp, use));
        }
        pipeline.remove(this);
    }

    /** Removes the handlers of a gossip stream. */
    private void removeOthers(ChannelPipeline pipeline) {
        for (String name : pipeline.names()) {
            ChannelHandler handler = pipeline.get(name);
            if (handler != null && handler != this) {
                pipeline.remove(handler);
            }
        }
    }
}
