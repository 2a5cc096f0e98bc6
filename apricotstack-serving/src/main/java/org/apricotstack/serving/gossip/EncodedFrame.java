package org.apricotstack.serving.gossip;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.apricotstack.wire.news.NewsFrame;

/** A frame of news that was written once, however many routers it is sent to. */
final class EncodedFrame {

    private final byte[] bytes;

    /** Holds written bytes. */
    private EncodedFrame(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Writes a frame. */
    static EncodedFrame of(NewsFrame frame) {
        return new EncodedFrame(frame.toByteArray());
    }

    /** Returns the bytes to send; all buffers share them, so nobody may change them. */
    ByteBuf buffer() {
        return Unpooled.wrappedBuffer(bytes);
    }
}
