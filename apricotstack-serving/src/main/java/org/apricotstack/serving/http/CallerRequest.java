package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A request of a caller.
 *
 * @param id the caller's id of this attempt; passed on unchanged; empty if it has none
 * @param host host name that it is for
 * @param target path and query, as sent
 * @param apiKey the caller's key, or {@code null}
 * @param timeoutMillis how long the caller will wait, in milliseconds; {@link #NO_TIMEOUT} if it does not say
 * @param lastEventId last event of the stream that the caller has, or {@code null}
 * @param promptTokens tokens of the prompt; 0 if unknown
 * @param maxAnswerTokens tokens of the answer, at most; 0 if unknown
 * @param head the request line and headers, as sent
 */
public record CallerRequest(
        String id,
        String host,
        String target,
        String apiKey,
        long timeoutMillis,
        String lastEventId,
        long promptTokens,
        long maxAnswerTokens,
        HttpRequest head) {

    /** Says that the caller sets no limit. */
    public static final long NO_TIMEOUT = Long.MAX_VALUE / 4;
}
