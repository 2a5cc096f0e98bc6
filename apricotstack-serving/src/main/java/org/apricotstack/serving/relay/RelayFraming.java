package org.apricotstack.serving.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.apricotstack.core.id.Address;

/**
 * The request for a relayed connection: four bytes that no gossip stream begins with, a byte with the length of the
 * upstream's address, and the address.
 */
public final class RelayFraming {

    /** First bytes of a request; as the length of a gossip message they would exceed its maximum. */
    private static final int MAGIC = 0x41524c31;

    private static final int LENGTH_BYTES = 1;

    private RelayFraming() {}

    /** Encodes a request. */
    static ByteBuf request(Address upstream) {
        byte[] text = upstream.toString().getBytes(StandardCharsets.US_ASCII);
        return Unpooled.buffer(Integer.BYTES + LENGTH_BYTES + text.length)
                .writeInt(MAGIC)
                .writeByte(text.length)
                .writeBytes(text);
    }

    /**
     * Returns whether a connection begins with a request.
     *
     * @param in at least four bytes
     * @return {@code false} for a gossip stream
     */
    public static boolean isRequest(ByteBuf in) {
        return in.getInt(in.readerIndex()) == MAGIC;
    }

    /** Reads the address of a request; {@code null} while it is incomplete. */
    static Address readAddress(ByteBuf in) {
        int headBytes = Integer.BYTES + LENGTH_BYTES;
        if (in.readableBytes() < headBytes) {
            return null;
        }
        int length = in.getUnsignedByte(in.readerIndex() + Integer.BYTES);
        if (in.readableBytes() < headBytes + length) {
            return null;
        }
        in.skipBytes(headBytes);
        return Address.parse(
                in.readCharSequence(length, StandardCharsets.US_ASCII).toString());
    }
}
