package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/** Buffers the body of a request while it arrives. */
final class RequestBody {

    private CompositeByteBuf buffer;
    private long receivedBytes;

    /** Starts the body of the next request. */
    void begin() {
        receivedBytes = 0;
    }

    /** Counts a chunk, whether it is kept or not, and returns the bytes that have arrived. */
    long count(ByteBuf chunk) {
        receivedBytes += chunk.readableBytes();
        return receivedBytes;
    }

    /** Appends a chunk. */
    void append(ByteBuf chunk) {
        if (buffer == null) {
            buffer = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
        buffer.addComponent(true, chunk.retain());
    }

    /** Removes and returns what was appended; the receiver releases it. */
    ByteBuf take() {
        ByteBuf whole = buffer == null ? Unpooled.EMPTY_BUFFER : buffer;
        buffer = null;
        return whole;
    }

    /** Releases what was appended. */
    void drop() {
        take().release();
    }
}
