package org.apricotstack.serving.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/** Flushes what was written without a flush once the current turn of the event loop has written all it has. */
final class DeferredFlush extends ChannelOutboundHandlerAdapter {

    private boolean scheduled;
    private boolean unflushed;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        context.write(message, promise);
        unflushed = true;
        if (!scheduled) {
            scheduled = true;
            context.executor().execute(() -> flushIfNeeded(context));
        }
    }

    /** Flushes unless all that was written has been flushed meanwhile. */
    private void flushIfNeeded(ChannelHandlerContext context) {
        scheduled = false;
        if (unflushed) {
            flush(context);
        }
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        unflushed = false;
        context.flush();
    }
}
