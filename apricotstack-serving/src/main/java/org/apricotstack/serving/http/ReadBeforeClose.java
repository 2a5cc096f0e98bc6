package org.apricotstack.serving.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;

/** Lets a connection write its responses and read what has arrived before it is closed. */
final class ReadBeforeClose {

    /** Time in which a connection reads what has arrived, in milliseconds. */
    private static final long READ_MILLIS = 20;

    private final CallerServer server;
    private boolean pending;

    /** Creates it for one connection. */
    ReadBeforeClose(CallerServer server) {
        this.server = server;
    }

    /** Returns whether a check will run. */
    boolean isPending() {
        return pending;
    }

    /** Runs a check that may close the connection once all is written and read, unless one is pending. */
    void begin(ChannelHandlerContext context, Runnable check) {
        if (pending) {
            return;
        }
        pending = true;
        context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(written -> server.schedule(READ_MILLIS, () -> {
                    pending = false;
                    check.run();
                }));
    }
}
