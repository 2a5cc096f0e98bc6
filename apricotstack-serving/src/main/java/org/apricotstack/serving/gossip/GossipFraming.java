package org.apricotstack.serving.gossip;

import java.util.function.Supplier;

import com.google.protobuf.MessageLite;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;

/**
 * Frames the messages on a stream of news: four bytes of length, then a protocol buffer.
 *
 * <p>A gRPC stream carried the same messages at several times the cost: most routers live for less than a minute of
 * processor time, in which its HTTP/2 layers run uncompiled.
 */
final class GossipFraming {

    /** Longest message, in bytes; a configuration has a megabyte at most, and a list of upstreams comes beside it. */
    private static final int MOST_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private GossipFraming() {}

    /** Creates what prepares a connection on which one type of message arrives. */
    static ChannelInitializer<Channel> initializer(MessageLite arriving, Supplier<ChannelInboundHandler> taker) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                ChannelPipeline pipeline = channel.pipeline();
                pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(MOST_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
                pipeline.addLast(new ProtobufDecoder(arriving));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
                pipeline.addLast(taker.get());
            }
        };
    }
}
