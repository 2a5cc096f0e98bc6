package org.apricotstack.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the bytes of a body in few components, however small the pieces are in which they arrive.
 *
 * <p>A piece that is kept costs some hundred bytes beside its own, and holds the whole buffer into which it was read.
 * Small pieces are therefore copied.
 */
public final class BodyBuffer {

    /** Shortest piece that is kept without a copy, in bytes. */
    private static final int KEPT_BYTES = 1_024;

    /** Capacity of the first component of copied pieces, in bytes; each further one has twice that of the last. */
    private static final int FIRST_COPY_BYTES = 256;

    private static final int LARGEST_COPY_BYTES = 64 * 1_024;

    private CompositeByteBuf whole;
    private ByteBuf copied;
    private int copyBytes = FIRST_COPY_BYTES;

    /**
     * Appends a piece.
     *
     * @param piece the piece; the caller keeps its own reference
     */
    public void append(ByteBuf piece) {
        if (piece.readableBytes() >= KEPT_BYTES) {
            closeCopy();
            add(piece.retain());
            return;
        }
        if (copied != null && copied.writableBytes() < piece.readableBytes()) {
            closeCopy();
        }
        if (copied == null) {
            copied = Unpooled.buffer(Math.max(copyBytes, piece.readableBytes()));
            copyBytes = Math.min(LARGEST_COPY_BYTES, 2 * copyBytes);
        }
        copied.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
    }

    /**
     * Returns the length of what was appended.
     *
     * @return bytes
     */
    public int readableBytes() {
        return (whole == null ? 0 : whole.readableBytes()) + (copied == null ? 0 : copied.readableBytes());
    }

    /**
     * Removes and returns what was appended; the receiver releases it.
     *
     * @return the bytes, empty if there are none
     */
    public ByteBuf take() {
        ByteBuf taken;
        if (whole == null) {
            taken = copied == null ? Unpooled.EMPTY_BUFFER : copied;
        } else {
            closeCopy();
            taken = whole;
        }
        whole = null;
        copied = null;
        copyBytes = FIRST_COPY_BYTES;
        return taken;
    }

    /** Releases what was appended. */
    public void drop() {
        take().release();
    }

    /** Adds the component of copied pieces to the whole, if there is one. */
    private void closeCopy() {
        if (copied != null) {
            add(copied);
            copied = null;
        }
    }

    /** Adds a component to the whole. */
    private void add(ByteBuf component) {
        if (whole == null) {
            whole = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
        whole.addComponent(true, component);
    }
}
