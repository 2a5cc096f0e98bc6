package org.apricotstack.serving.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

/**
 * Decodes requests, and rejects those with two contradicting lengths or a chunk size that is too large.
 *
 * <p>Servers disagree about a request with both a Content-Length and chunks: what one takes for the rest of the body,
 * another takes for a second request. If such a request were forwarded, a caller could smuggle a request inside
 * another.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Finds the first byte that is neither white space nor a control character, which may precede a request. */
    private static final ByteProcessor BLANK = value -> value >= 0 && value <= ' ';

    private final Runnable onHeadBegun;
    private final ChunkSizeCheck chunkSizes = new ChunkSizeCheck();
    private boolean headBegun;
    private boolean bodyExpected;

    /** Creates a decoder that calls the action with the first byte of each request line. */
    StrictRequestDecoder(HttpDecoderConfig config, Runnable onHeadBegun) {
        super(config);
        this.onHeadBegun = onHeadBegun;
    }

    /** Returns whether a request line or headers have begun to arrive and are not complete. */
    boolean isHeadArriving() {
        return headBegun;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (!headBegun && !bodyExpected && buffer.forEachByte(BLANK) >= 0) {
            headBegun = true;
            onHeadBegun.run();
        }
        int before = out.size();
        int from = buffer.readerIndex();
        super.decode(ctx, buffer, out);
        chunkSizes.decoded(buffer, from, out, before);
        out.subList(before, out.size()).forEach(this::decoded);
    }

    /** Records that a message was decoded. */
    private void decoded(Object message) {
        if (message instanceof HttpRequest) {
            headBegun = false;
            bodyExpected = true;
        }
        if (message instanceof LastHttpContent) {
            bodyExpected = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "The request has both Content-Length and Transfer-Encoding; send only one of them.");
    }
}
