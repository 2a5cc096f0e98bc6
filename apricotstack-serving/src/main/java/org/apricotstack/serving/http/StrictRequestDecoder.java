package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests, and rejects those with two contradicting lengths.
 *
 * <p>Servers disagree about a request with both a Content-Length and chunks: what one takes for the rest of the body,
 * another takes for a second request. If such a request were forwarded, a caller could smuggle a request inside
 * another.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Creates a decoder. */
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "The request has both Content-Length and Transfer-Encoding; send only one of them.");
    }
}
