package org.apricotstack.serving.http;

import java.util.List;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes responses, and expects no body after a response to HEAD, whatever its headers announce (RFC 9112, section
 * 6.3). A late response to another request may precede it, so that the method of the request in flight alone does not
 * tell whether a body follows. Rejects heads that violate HTTP, and chunk sizes that are too large.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {

    private final Predicate<HttpResponse> answersHead;
    private final ResponseHeadCheck heads = new ResponseHeadCheck();
    private final ChunkSizeCheck chunkSizes = new ChunkSizeCheck();
    private boolean responseBegun;

    /** Creates a decoder with a predicate that returns whether a response belongs to a HEAD request in flight. */
    UpstreamResponseDecoder(HttpDecoderConfig config, Predicate<HttpResponse> answersHead) {
        super(config);
        this.answersHead = answersHead;
    }

    /** Returns whether a part of a response has arrived, of which the rest is missing. */
    boolean holdsPartOfResponse() {
        return responseBegun || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (heads.isMalformed()) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int before = out.size();
        int from = buffer.readerIndex();
        super.decode(ctx, buffer, out);
        heads.decoded(buffer, from, out, before);
        chunkSizes.decoded(buffer, from, out, before);
        if (out.size() > before) {
            responseBegun = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else if (buffer.readerIndex() > from) {
            responseBegun = true;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message)
                || message instanceof HttpResponse response && answersHead.test(response);
    }
}
