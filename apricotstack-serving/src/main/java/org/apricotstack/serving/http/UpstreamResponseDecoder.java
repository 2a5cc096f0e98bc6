package org.apricotstack.serving.http;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses, and expects no body after a response to HEAD, whatever its headers announce (RFC 9112, section
 * 6.3). A late response to another request may precede it, so that the method of the request in flight alone does not
 * tell whether a body follows.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {

    private final Predicate<HttpResponse> answersHead;

    /** Creates a decoder with a predicate that returns whether a response belongs to a HEAD request in flight. */
    UpstreamResponseDecoder(HttpDecoderConfig config, Predicate<HttpResponse> answersHead) {
        super(config);
        this.answersHead = answersHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message)
                || message instanceof HttpResponse response && answersHead.test(response);
    }
}
