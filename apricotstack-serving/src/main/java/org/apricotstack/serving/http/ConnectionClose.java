package org.apricotstack.serving.http;

import org.apricotstack.serving.observe.ConnectionCloseCause;

/**
 * The close of a caller's connection by the router.
 *
 * @param cause why it is closed
 * @param stage how far its current request has come
 * @param requestId the caller's id of the current request; {@code null} if unknown
 * @param callerIp IP address of the caller; empty if unknown
 * @param error the error that caused the close, or {@code null}
 */
public record ConnectionClose(
        ConnectionCloseCause cause, RequestStage stage, String requestId, String callerIp, Throwable error) {}
