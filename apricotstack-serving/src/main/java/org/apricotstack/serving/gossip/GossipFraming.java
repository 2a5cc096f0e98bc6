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
import org.apricotstack.serving.http.ReadPacing;

/**
 * Frames the messages on a gossip stream: four bytes of length, then a protocol buffer.
 *
 * <p>A gRPC stream carried the same messages at several times the cost: most routers use less than a minute of
 * processor time in their life, in which its HTTP/2 layers run uncompiled.
 */
final class GossipFraming {

    /**
     * Maximum length of a message, in bytes; a configuration has up to a megabyte, and is sent along with a list of
     * upstreams.
     */
    private static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private GossipFraming() {}

    /** Creates the initializer of a connection that receives messages of one type, and before that their bytes. */
    static ChannelInitializer<Channel> initializer(
            MessageLite messageType, Supplier<ChannelInboundHandler> bytes, Supplier<ChannelInboundHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(bytes.get());
                addHandlers(channel, messageType, handler.get());
            }
        };
    }

    /** Adds the handlers of a connection that receives messages of one type. */
    static void addHandlers(Channel channel, MessageLite messageType, ChannelInboundHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(ReadPacing.counter());
        pipeline.addLast(new ProtobufDecoder(messageType));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(handler);
    }
}
