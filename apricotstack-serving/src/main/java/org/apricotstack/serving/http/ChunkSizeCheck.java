package org.apricotstack.serving.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;

/**
 * Detects chunk sizes that exceed what a decoder can read (RFC 9112, section 7.1). It drops the upper bits of a size
 * with many digits, so that a chunk of 100000005 (hexadecimal) would be read as one of 5 bytes, and the rest of it as
 * the next chunk.
 */
final class ChunkSizeCheck {

    /** Largest size of a chunk that is decoded, in bytes. */
    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private static final int HEX_RADIX = 16;

    /** Part of a chunked body that the next byte belongs to. */
    private enum Part {
        /** There is no chunked body. */
        NONE,
        /** Size of a chunk. */
        SIZE,
        /** Rest of the line after a size. */
        EXTENSION,
        /** Data of a chunk. */
        DATA,
        /** End of the line after the data. */
        DELIMITER,
        /** Lines after the last chunk. */
        TRAILERS
    }

    private Part part = Part.NONE;
    private boolean sizeBegun;
    private long size;

    /**
     * Reads the bytes that a decoder consumed, and replaces the messages that it decoded from them by an invalid one if
     * they contain a chunk size that is too large.
     *
     * @param buffer contains the bytes, from the given index to its reader index
     * @param from index of the first byte that was consumed
     * @param messages the decoded messages
     * @param firstMessage index of the first message that was decoded from the bytes
     */
    void decoded(ByteBuf buffer, int from, List<Object> messages, int firstMessage) {
        boolean tooLarge = part != Part.NONE && hasTooLargeSize(buffer, from, buffer.readerIndex());
        if (tooLarge) {
            while (messages.size() > firstMessage) {
                ReferenceCountUtil.release(messages.remove(messages.size() - 1));
            }
            messages.add(invalidChunk());
        }
        messages.subList(firstMessage, messages.size()).forEach(this::begin);
    }

    /** Creates a message that stands for a malformed chunk. */
    private static LastHttpContent invalidChunk() {
        LastHttpContent invalid = new DefaultLastHttpContent();
        invalid.setDecoderResult(DecoderResult.failure(
                new TooLongHttpContentException("Send chunks of at most " + MAX_CHUNK_BYTES + " bytes.")));
        return invalid;
    }

    /** Records that the head of a message, or the end of its body, was decoded. */
    private void begin(Object message) {
        if (message instanceof LastHttpContent) {
            part = Part.NONE;
        } else if (message instanceof HttpMessage head && HttpUtil.isTransferEncodingChunked(head)) {
            beginSize();
        }
    }

    /** Expects the size of a chunk. */
    private void beginSize() {
        part = Part.SIZE;
        sizeBegun = false;
        size = 0;
    }

    /** Returns whether the bytes of a chunked body contain a size that is too large. */
    private boolean hasTooLargeSize(ByteBuf buffer, int from, int to) {
        int index = from;
        while (index < to && size <= MAX_CHUNK_BYTES) {
            if (part == Part.DATA) {
                int skipped = (int) Math.min(size, to - index);
                size -= skipped;
                index += skipped;
                part = size == 0 ? Part.DELIMITER : Part.DATA;
            } else {
                read(buffer.getByte(index++));
            }
        }
        return size > MAX_CHUNK_BYTES;
    }

    /** Reads a byte that is not one of a chunk's data. */
    private void read(byte value) {
        if (value == '\n') {
            lineEnded();
        } else if (part == Part.SIZE) {
            int digit = Character.digit(value, HEX_RADIX);
            if (digit >= 0) {
                sizeBegun = true;
                size = size * HEX_RADIX + digit;
            } else if (sizeBegun) {
                part = Part.EXTENSION;
            }
        }
    }

    /** Continues after the end of a line. */
    private void lineEnded() {
        if (part == Part.DELIMITER) {
            beginSize();
        } else if (part == Part.SIZE || part == Part.EXTENSION) {
            part = size == 0 ? Part.TRAILERS : Part.DATA;
        }
    }
}
