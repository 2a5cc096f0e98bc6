package org.apricotstack.adapters.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;

/** Problem documents (RFC 9457) for refusals. They contain no credentials and no part of a prompt. */
public final class ProblemDocument {

    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemDocument() {}

    /**
     * Returns the HTTP status of a reason.
     *
     * @param reason the reason
     * @return the status
     */
    public static int status(RefusalReason reason) {
        return switch (reason) {
            case UNAUTHENTICATED -> 401;
            case UNKNOWN_SERVICE -> 404;
            case BODY_TOO_LARGE, PROMPT_TOO_LONG -> 413;
            default -> switch (reason.kind()) {
                case CALLER_ERROR -> 400;
                case LIMIT -> 429;
                case OVERLOAD, UNAVAILABLE -> 503;
                case FAILED -> 502;
                case TIMEOUT -> 504;
                case CONFLICT -> 409;
            };
        };
    }

    /**
     * Returns the value of the Retry-After header.
     *
     * @param refusal the refusal
     * @return seconds, rounded up; 0 if unknown
     */
    public static long retryAfterSeconds(Refusal refusal) {
        return (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }

    /**
     * Writes the document.
     *
     * @param refusal the refusal
     * @param request the id of the request, or {@code null}
     * @return JSON on one line
     */
    public static String write(Refusal refusal, String request) {
        RefusalReason reason = refusal.reason();
        ObjectNode document = Json.STRICT
                .createObjectNode()
                .put("type", "urn:apricotstack:problem:" + reason.code())
                .put("title", reason.title())
                .put("status", status(reason))
                .put("code", reason.code())
                .put("outcome", refusal.outcome().code())
                .put("remedy", reason.remedy());
        if (!refusal.detail().isEmpty()) {
            document.put("detail", refusal.detail());
        }
        if (refusal.retryAfterMillis() > 0) {
            document.put("retryAfterMillis", refusal.retryAfterMillis());
        }
        if (request != null) {
            document.put("request", request);
        }
        return Json.write(document);
    }
}
