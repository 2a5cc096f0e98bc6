package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those whose length is said twice.
 *
 * <p>A request with both a length and chunks is read differently by different programs; what one takes for the rest
 * of its body, another takes for a second request. Passing it on would let a caller hide a request inside another.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Creates a decoder. */
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("Both Content-Length and Transfer-Encoding; send one of them.");
    }
}
