package org.apricotstack.serving.http;

import java.util.Iterator;
import java.util.Map;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.apricotstack.core.route.CallerLimits;

/** Checks the request line and headers of a request. */
final class RequestHeadCheck {

    /** Bytes of headers that are accepted beyond the configured limit. */
    static final int HEADER_SLACK_BYTES = 1024;

    /** Length of the separator between the parts of a request line, in bytes. */
    private static final int SPACE_BYTES = 1;

    /** Length of the separator between a header's name and value, in bytes. */
    private static final int COLON_BYTES = 2;

    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    private RequestHeadCheck() {}

    /**
     * Checks a request line and headers.
     *
     * @param head the request line and headers
     * @param limits the limits that apply to the request
     * @throws BadRequestException if they are malformed, too long, or announce a body that is too long
     */
    static void check(HttpRequest head, CallerLimits limits) {
        if (head.decoderResult().isFailure()) {
            throw notProper(head.decoderResult().cause());
        }
        if (!isVisibleAscii(head.uri())) {
            throw refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "Send bytes of the path and query that are not visible ASCII percent-encoded.");
        }
        if (lineBytes(head) > limits.headerBytes()) {
            throw refusal(
                    HttpResponseStatus.REQUEST_URI_TOO_LONG,
                    "Send a request line of at most " + limits.headerBytes() + " bytes.");
        }
        if (headerBytes(head) > limits.headerBytes() + HEADER_SLACK_BYTES) {
            throw refusal(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "Send headers of at most " + limits.headerBytes() + " bytes.");
        }
        if (HttpUtil.getContentLength(head, 0L) > limits.bodyBytes()) {
            throw bodyTooLong(limits);
        }
    }

    /** Creates the refusal of a request that could not be decoded. */
    static BadRequestException notProper(Throwable cause) {
        return refusal(DecodingErrors.status(cause), DecodingErrors.message(cause));
    }

    /** Creates the refusal of a body that is too long. */
    static BadRequestException bodyTooLong(CallerLimits limits) {
        return refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "Send at most " + limits.bodyBytes() + " bytes.");
    }

    /** Creates a refusal. */
    private static BadRequestException refusal(HttpResponseStatus status, String message) {
        return new BadRequestException(status.code(), message);
    }

    /** Returns whether a text consists of visible ASCII characters, as request targets do (RFC 3986, section 2). */
    private static boolean isVisibleAscii(String text) {
        return text.chars().allMatch(character -> character >= FIRST_VISIBLE && character <= LAST_VISIBLE);
    }

    /** Returns the length of the request line. */
    private static long lineBytes(HttpRequest head) {
        return (long) head.method().name().length()
                + head.uri().length()
                + head.protocolVersion().text().length()
                + 2 * SPACE_BYTES;
    }

    /** Returns the length of all headers. */
    private static long headerBytes(HttpRequest head) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            bytes += header.getKey().length() + COLON_BYTES + header.getValue().length();
        }
        return bytes;
    }
}
