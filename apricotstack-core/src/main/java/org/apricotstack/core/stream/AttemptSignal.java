package org.apricotstack.core.stream;

import java.util.List;

import org.apricotstack.core.dispatch.Header;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.id.UpstreamId;

/** What happened in an attempt. The last signal is {@link Completed} or {@link Refused}. */
public sealed interface AttemptSignal {

    /** The owner has put the attempt into its queue. */
    record Queued() implements AttemptSignal {}

    /**
     * The owner is about to give the attempt to an upstream; from here on the outcome of a failure is unknown.
     *
     * @param upstream the upstream
     */
    record Started(UpstreamId upstream) implements AttemptSignal {}

    /**
     * The status and headers of a plain service's reply.
     *
     * @param status HTTP status
     * @param headers headers that are passed on
     */
    record Head(int status, List<Header> headers) implements AttemptSignal {}

    /**
     * A piece of the answer.
     *
     * @param offset units before it: tokens for completions, bytes for plain services
     * @param count units in it
     * @param data its bytes; not to be changed
     */
    record Chunk(long offset, long count, byte[] data) implements AttemptSignal {}

    /** The sender is alive and the attempt is not forgotten. */
    record Heartbeat() implements AttemptSignal {}

    /**
     * The explicit end of a whole answer.
     *
     * @param total units in the whole answer, from offset 0
     * @param promptTokens tokens of the prompt as the engine counted them
     * @param cachedTokens prompt tokens that the engine did not compute again
     * @param finishReason why the engine stopped, such as {@code stop} or {@code length}
     */
    record Completed(long total, long promptTokens, long cachedTokens, String finishReason) implements AttemptSignal {}

    /**
     * The attempt ended without a whole answer.
     *
     * @param refusal why
     * @param upstream the upstream that failed, or {@code null}
     */
    record Refused(Refusal refusal, UpstreamId upstream) implements AttemptSignal {}
}
