package org.apricotstack.adapters.upstream;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.core.publisher.Flux;
import reactor.netty.Connection;

/** Reads the body of an HTTP response line by line, independent of how it is split into packets. */
public final class HttpLines {

    private static final int MAX_LINE_BYTES = 1 << 20;

    private HttpLines() {}

    /**
     * Reads the lines of a response.
     *
     * @param connection the connection of the response
     * @return its lines without line separators; empty lines are left out
     */
    public static Flux<String> of(Connection connection) {
        return connection
                .addHandlerLast("content-bytes", new ContentBytes())
                .addHandlerLast("lines", new LineBasedFrameDecoder(MAX_LINE_BYTES))
                .inbound()
                .receive()
                .asString(StandardCharsets.UTF_8)
                .filter(line -> !line.isEmpty());
    }

    /** Unwraps HTTP content to bytes, as the line decoder accepts only bytes. */
    private static final class ContentBytes extends MessageToMessageDecoder<HttpContent> {

        @Override
        protected void decode(ChannelHandlerContext context, HttpContent content, List<Object> out) {
            out.add(content.content().retain());
            if (content instanceof LastHttpContent) {
                out.add(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }
    }
}
