package org.apricotstack.serving.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.apricotstack.core.notice.UpstreamNotice;

/** Parses the standard HTTP headers of a response. */
public final class PlainProtocol implements UpstreamProtocol {

    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final long MILLIS_PER_SECOND = 1_000;

    @Override
    public HttpRequest write(CallerRequest request, int bodyBytes, ForwardingParameters forwarding) {
        throw new UnsupportedOperationException(
                "This protocol only parses responses; use the platform's protocol to encode requests.");
    }

    @Override
    public ResponseHead read(HttpResponse head) {
        return new ResponseHead(
                head.status().code(),
                null,
                false,
                false,
                false,
                false,
                false,
                null,
                !HttpUtil.isKeepAlive(head),
                UpstreamNotice.NONE,
                keepAliveMillis(head.headers()));
    }

    /**
     * Returns whether the end of a response is marked; otherwise the end of its connection is its end.
     *
     * @param method method of the request
     * @param head status and headers
     * @return whether the response has a length, consists of chunks, or has no body by its method or status
     */
    public static boolean isFramed(HttpMethod method, HttpResponse head) {
        return HttpMethod.HEAD.equals(method)
                || isWithoutBody(head.status())
                || HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head);
    }

    /** Returns whether a final response with a status never has a body (RFC 9112, section 6.3). */
    private static boolean isWithoutBody(HttpResponseStatus status) {
        return HttpResponseStatus.NO_CONTENT.equals(status) || HttpResponseStatus.NOT_MODIFIED.equals(status);
    }

    /**
     * Returns how long the server keeps an idle connection open.
     *
     * @param headers the headers of a response
     * @return milliseconds; 0 if not specified
     */
    public static long keepAliveMillis(HttpHeaders headers) {
        String value = headers.get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf(TIMEOUT_PARAMETER);
        if (at < 0) {
            return 0;
        }
        int end = at + TIMEOUT_PARAMETER.length();
        long seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end)) && seconds < Integer.MAX_VALUE) {
            seconds = seconds * 10 + Character.digit(value.charAt(end++), 10);
        }
        return seconds * MILLIS_PER_SECOND;
    }

    /**
     * Returns whether a header is hop-by-hop, so that it must not be forwarded.
     *
     * @param name the header's name
     * @return whether the header is removed
     */
    public static boolean isHopByHop(CharSequence name) {
        return HttpHeaderNames.CONNECTION.contentEqualsIgnoreCase(name)
                || "Keep-Alive".contentEquals(name)
                || HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.TE.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.TRAILER.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.UPGRADE.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.PROXY_AUTHENTICATE.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.PROXY_AUTHORIZATION.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.EXPECT.contentEqualsIgnoreCase(name);
    }

    /**
     * Copies an upstream's headers without the hop-by-hop headers.
     *
     * @param headers the headers as received
     * @return the headers for the caller
     */
    public static HttpHeaders withoutHopByHop(HttpHeaders headers) {
        HttpHeaders copy =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        headers.iteratorCharSequence().forEachRemaining(header -> {
            if (!isHopByHop(header.getKey())) {
                copy.add(header.getKey(), header.getValue());
            }
        });
        return copy;
    }
}
