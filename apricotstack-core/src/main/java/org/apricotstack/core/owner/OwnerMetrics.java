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
     * Counts an event that was not forwarded.
     *
     * @param verdict why
     */
    void ownerEventDropped(StreamVerdict verdict);

    /**
     * Counts the prompt tokens of a complete answer.
     *
     * @param promptTokens tokens of the prompt
     * @param cachedTokens how many of these came from the KV cache
     */
    void promptServed(long promptTokens, long cachedTokens);

    /** Counts a release of memory that an engine held for an abandoned attempt. */
    void memoryReleased();

    /**
     * Counts an order to an engine.
     *
     * @param accepted whether the engine accepted it
     */
    void orderSent(boolean accepted);
}
