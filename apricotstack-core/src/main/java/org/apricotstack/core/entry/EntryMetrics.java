package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.retry.RetryReason;
import org.apricotstack.core.routing.GroupChoice;
import org.apricotstack.core.stream.StreamVerdict;

/** Port: counters and histograms of the entry router. */
public interface EntryMetrics {

    /**
     * Counts a request that ended without a complete answer.
     *
     * @param refusal why
     */
    void requestRefused(Refusal refusal);

    /** Counts a request that ended with a complete answer. */
    void requestCompleted();

    /**
     * Counts a retry.
     *
     * @param reason why
     */
    void attemptRetried(RetryReason reason);

    /** Counts a retry that the retry budget did not allow. */
    void retryBudgetExhausted();

    /**
     * Counts a choice of a group.
     *
     * @param reason why it was chosen
     */
    void groupChosen(GroupChoice.Reason reason);

    /**
     * Counts an event that was not forwarded.
     *
     * @param verdict why
     */
    void eventDropped(StreamVerdict verdict);

    /**
     * Records a time to first token.
     *
     * @param lengthClass the class of the prompt
     * @param millis the time in milliseconds
     */
    void firstToken(LengthClass lengthClass, long millis);
}
