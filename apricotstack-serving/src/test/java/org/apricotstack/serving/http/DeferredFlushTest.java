package org.apricotstack.serving.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DeferredFlushTest {

    /** Writes twice for each message, and notes how much of it was flushed at once. */
    private static final class TwofoldWriter extends ChannelInboundHandlerAdapter {
        private int flushedAtOnce;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            context.write("first");
            context.write("second");
            flushedAtOnce =
                    ((EmbeddedChannel) context.channel()).outboundMessages().size();
        }
    }

    @Test
    void flushesTogetherWhatOneTurnWrites() {
        TwofoldWriter writer = new TwofoldWriter();
        EmbeddedChannel channel = new EmbeddedChannel(new DeferredFlush(), writer);
        channel.writeInbound("read");
        channel.runPendingTasks();
        assertThat(writer.flushedAtOnce).isZero();
        assertThat(channel.outboundMessages()).containsExactly("first", "second");
    }

    @Test
    void flushesAtOnceIfTheWriterDoes() {
        EmbeddedChannel channel = new EmbeddedChannel(new DeferredFlush());
        channel.writeAndFlush("first");
        assertThat(channel.outboundMessages()).containsExactly("first");
    }
}
