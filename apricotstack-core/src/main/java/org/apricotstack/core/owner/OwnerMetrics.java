package org.apricotstack.core.owner;

import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.stream.StreamVerdict;

/** Port: counters of the owner. */
public interface OwnerMetrics {

    /**
     * Counts a refused or failed attempt.
     *
     * @param reason why
     */
    void attemptRefused(RefusalReason reason);

    /**
     * Counts an event that was not passed on.
     *
     * @param verdict why
     */
    void ownerEventDropped(StreamVerdict verdict);

    /**
     * Counts prompt tokens of a whole answer.
     *
     * @param promptTokens tokens of the prompt
     * @param cachedTokens of these, tokens that were not computed again
     */
    void promptServed(long promptTokens, long cachedTokens);

    /** Counts memory that was released for an attempt that nobody needs any more. */
    void memoryReleased();

    /**
     * Counts an order to an engine.
     *
     * @param accepted whether the engine took it
     */
    void orderSent(boolean accepted);
}
