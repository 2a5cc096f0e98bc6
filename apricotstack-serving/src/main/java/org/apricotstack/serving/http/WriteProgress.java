package org.apricotstack.serving.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Watches how much of the responses on a connection is not written yet, as its caller reads slowly. */
final class WriteProgress {

    private long lastRemainingBytes;

    /** Returns the size of the messages that are not written, or only in part, in bytes. */
    static long unwrittenBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Returns whether bytes were written since the last call. */
    boolean advanced(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long partlyWritten = buffer == null ? 0 : buffer.currentProgress();
        long remainingBytes = unwrittenBytes(channel) - partlyWritten;
        boolean advanced = remainingBytes < lastRemainingBytes;
        lastRemainingBytes = remainingBytes;
        return advanced;
    }
}
