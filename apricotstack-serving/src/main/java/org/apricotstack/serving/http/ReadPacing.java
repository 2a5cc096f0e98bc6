package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.AttributeKey;
import io.netty.util.UncheckedBooleanSupplier;

/**
 * Bounds the work that a connection causes in one turn of the event loop.
 *
 * <p>The bytes of one read may consist of thousands of small pieces: chunks of one byte, pipelined requests, events.
 * All other connections wait until they are processed. A connection therefore ends its turn after some pieces, and
 * reads less at a time for as long as its pieces are small. None is delayed while no other connection has anything to
 * do.
 */
public final class ReadPacing implements RecvByteBufAllocator {

    /** Number of pieces after which a connection reads no more in a turn. */
    static final int MAX_PIECES = 128;

    /** Number of pieces for which an event counts, as it is written and flushed on its own. */
    private static final int EVENT_PIECES = 8;

    /** Least number of bytes that a connection reads at a time. */
    static final int MIN_READ_BYTES = 256;

    private static final AttributeKey<ReadPacing> PACING = AttributeKey.valueOf(ReadPacing.class, "pacing");

    private final RecvByteBufAllocator unpaced;
    private int pieces;

    /** Creates the pacing of a connection that otherwise reads as the given allocator says. */
    ReadPacing(RecvByteBufAllocator unpaced) {
        this.unpaced = unpaced;
    }

    /**
     * Paces a connection that has not read anything yet.
     *
     * @param channel its channel
     */
    public static void install(Channel channel) {
        ReadPacing pacing = new ReadPacing(channel.config().getRecvByteBufAllocator());
        channel.config().setRecvByteBufAllocator(pacing);
        channel.attr(PACING).set(pacing);
    }

    /**
     * Creates a handler that counts each message that it passes on as a piece.
     *
     * @return the handler, to be added behind the decoders
     */
    public static ChannelHandler counter() {
        return new Counter();
    }

    /** Counts an event that was forwarded to a caller, if the channel from which it came is paced. */
    static void countEvent(Channel channel) {
        count(channel, EVENT_PIECES);
    }

    /** Counts pieces that were processed on a channel, if it is paced. */
    private static void count(Channel channel, int count) {
        ReadPacing pacing = channel.attr(PACING).get();
        if (pacing != null) {
            pacing.count(count);
        }
    }

    /** Counts pieces. */
    void count(int count) {
        pieces += count;
    }

    @Override
    public Handle newHandle() {
        return new PacedHandle((ExtendedHandle) unpaced.newHandle());
    }

    /** Counts messages. */
    private static final class Counter extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            count(context.channel(), 1);
            context.fireChannelRead(message);
        }
    }

    /** Decides how many bytes are read at a time, and when the turn of the connection ends. */
    private final class PacedHandle implements ExtendedHandle {

        private final ExtendedHandle delegate;
        private long turnBytes;
        private long maxBytes = Integer.MAX_VALUE;

        private PacedHandle(ExtendedHandle delegate) {
            this.delegate = delegate;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return (int) Math.min(delegate.guess(), maxBytes);
        }

        @Override
        public void reset(ChannelConfig config) {
            pieces = 0;
            turnBytes = 0;
            delegate.reset(config);
        }

        @Override
        public void lastBytesRead(int bytes) {
            turnBytes += Math.max(0, bytes);
            delegate.lastBytesRead(bytes);
        }

        @Override
        public boolean continueReading() {
            return pieces < MAX_PIECES && delegate.continueReading();
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
            return pieces < MAX_PIECES && delegate.continueReading(maybeMoreData);
        }

        @Override
        public void readComplete() {
            if (pieces > MAX_PIECES) {
                maxBytes = Math.max(MIN_READ_BYTES, turnBytes * MAX_PIECES / pieces);
            } else if (pieces < MAX_PIECES / 2) {
                maxBytes = Math.min(Integer.MAX_VALUE, 2 * maxBytes);
            }
            delegate.readComplete();
        }

        @Override
        public void incMessagesRead(int messages) {
            delegate.incMessagesRead(messages);
        }

        @Override
        public int lastBytesRead() {
            return delegate.lastBytesRead();
        }

        @Override
        public void attemptedBytesRead(int bytes) {
            delegate.attemptedBytesRead(bytes);
        }

        @Override
        public int attemptedBytesRead() {
            return delegate.attemptedBytesRead();
        }
    }
}
