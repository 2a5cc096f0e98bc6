package org.apricotstack.serving.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.apricotstack.core.notice.UpstreamNotice;

/** Reads of an answer what HTTP itself says. */
public final class PlainProtocol implements UpstreamProtocol {

    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final long MILLIS_PER_SECOND = 1_000;

    @Override
    public HttpRequest write(CallerRequest request, int bodyBytes, ForwardingParameters forwarding) {
        throw new UnsupportedOperationException("Requests of callers are written by the platform's protocol.");
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
     * Reads for how long the sender keeps the connection.
     *
     * @param headers the headers of an answer
     * @return milliseconds; 0 if it does not say
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
     * Tells whether a header concerns one connection only and is not passed on.
     *
     * @param name the header's name
     * @return whether it stays behind
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
     * Copies an upstream's headers without those that concern its connection.
     *
     * @param headers the headers as they came
     * @return the headers that a caller gets
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
