package org.apricotstack.serving.http;

import java.util.List;

import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.id.PromptPartId;

/**
 * A request of a caller.
 *
 * @param id the caller's id of this attempt, forwarded unchanged; empty if there is none
 * @param host host name that the request is for
 * @param target path and query, as received; without scheme and host if it was received in absolute form
 * @param apiKey the caller's API key, or {@code null}
 * @param timeoutMillis how long the caller waits, in milliseconds; {@link #NO_TIMEOUT} if not specified
 * @param lastEventId id of the last event that the caller has of the stream, or {@code null}
 * @param promptTokens length of the prompt, in tokens; 0 if unknown
 * @param maxAnswerTokens longest answer, in tokens; 0 if unknown
 * @param promptParts parts of the prompt in order, the last of which belongs to the request or its session alone; empty
 *     if unknown
 * @param head the request line and headers, as received except for a target in absolute form
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
        List<PromptPartId> promptParts,
        HttpRequest head) {

    /** The caller specifies no timeout. */
    public static final long NO_TIMEOUT = Long.MAX_VALUE / 4;

    /** Creates a request with a copy of the list. */
    public CallerRequest {
        promptParts = List.copyOf(promptParts);
    }
}
