package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;

/** Buffers the body of a request while it arrives. */
final class RequestBody {

    private final BodyBuffer buffer = new BodyBuffer();
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
        buffer.append(chunk);
    }

    /** Removes and returns what was appended; the receiver releases it. */
    ByteBuf take() {
        return buffer.take();
    }

    /** Releases what was appended. */
    void drop() {
        buffer.drop();
    }
}
