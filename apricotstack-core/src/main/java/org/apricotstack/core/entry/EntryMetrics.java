package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.retry.RetryReason;
import org.apricotstack.core.routing.GroupChoice;
import org.apricotstack.core.stream.StreamVerdict;

/** Port: counters and histograms of the entry router. */
public interface EntryMetrics {

    /**
     * Counts a request that ended without a whole answer.
     *
     * @param refusal why
     */
    void requestRefused(Refusal refusal);

    /** Counts a request that ended with a whole answer. */
    void requestCompleted();

    /**
     * Counts another attempt.
     *
     * @param reason why
     */
    void attemptRetried(RetryReason reason);

    /** Counts a retry that the budget forbade. */
    void retryBudgetExhausted();

    /**
     * Counts a choice of a group.
     *
     * @param reason why it was chosen
     */
    void groupChosen(GroupChoice.Reason reason);

    /**
     * Counts an event that was not passed on.
     *
     * @param verdict why
     */
    void eventDropped(StreamVerdict verdict);

    /**
     * Notes a time to first token.
     *
     * @param lengthClass the class of the prompt
     * @param millis the time in milliseconds
     */
    void firstToken(LengthClass lengthClass, long millis);
}
