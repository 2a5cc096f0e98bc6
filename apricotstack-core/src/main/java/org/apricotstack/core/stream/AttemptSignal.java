package org.apricotstack.core.stream;

import java.util.List;

import org.apricotstack.core.dispatch.Header;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.id.UpstreamId;

/** An event in the course of an attempt. The last signal is {@link Completed} or {@link Refused}. */
public sealed interface AttemptSignal {

    /** The owner has queued the attempt. */
    record Queued() implements AttemptSignal {}

    /**
     * The owner is about to dispatch the attempt to an upstream; the outcome of a failure after this signal is unknown.
     *
     * @param upstream the upstream
     */
    record Started(UpstreamId upstream) implements AttemptSignal {}

    /**
     * The status and headers of a plain service's reply.
     *
     * @param status HTTP status
     * @param headers headers that are forwarded
     */
    record Head(int status, List<Header> headers) implements AttemptSignal {}

    /**
     * A chunk of the answer.
     *
     * @param offset units before it: tokens for completions, bytes for plain services
     * @param count units in it
     * @param data its bytes, which must not be modified
     */
    record Chunk(long offset, long count, byte[] data) implements AttemptSignal {}

    /** The sender is alive and still handles the attempt. */
    record Heartbeat() implements AttemptSignal {}

    /**
     * The explicit end of a complete answer.
     *
     * @param total units in the complete answer, from offset 0
     * @param promptTokens tokens of the prompt as the engine counted them
     * @param cachedTokens prompt tokens that the engine took from its KV cache
     * @param finishReason why the engine stopped, such as {@code stop} or {@code length}
     */
    record Completed(long total, long promptTokens, long cachedTokens, String finishReason) implements AttemptSignal {}

    /**
     * The attempt ended without a complete answer.
     *
     * @param refusal why
     * @param upstream the upstream that failed, or {@code null}
     */
    record Refused(Refusal refusal, UpstreamId upstream) implements AttemptSignal {}
}
