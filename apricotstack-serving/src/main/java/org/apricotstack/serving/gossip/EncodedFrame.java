package org.apricotstack.serving.gossip;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.apricotstack.wire.news.NewsFrame;

/** A frame of state updates that is serialized once, however many routers it is sent to. */
final class EncodedFrame {

    private final byte[] bytes;

    /** Holds a serialized frame. */
    private EncodedFrame(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Serializes a frame. */
    static EncodedFrame of(NewsFrame frame) {
        return new EncodedFrame(frame.toByteArray());
    }

    /** Returns a buffer for sending; all buffers share the bytes, so nobody may change them. */
    ByteBuf buffer() {
        return Unpooled.wrappedBuffer(bytes);
    }
}
