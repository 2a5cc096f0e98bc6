package org.apricotstack.core.fleet;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.entry.EntryMetrics;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.owner.OwnerMetrics;
import org.apricotstack.core.retry.RetryReason;
import org.apricotstack.core.routing.GroupChoice;
import org.apricotstack.core.stream.StreamVerdict;

/** Metrics that record nothing. */
public class NoMetrics implements EntryMetrics, OwnerMetrics {

    @Override
    public void requestRefused(Refusal refusal) {}

    @Override
    public void requestCompleted() {}

    @Override
    public void attemptRetried(RetryReason reason) {}

    @Override
    public void retryBudgetExhausted() {}

    @Override
    public void groupChosen(GroupChoice.Reason reason) {}

    @Override
    public void eventDropped(StreamVerdict verdict) {}

    @Override
    public void firstToken(LengthClass lengthClass, long millis) {}

    @Override
    public void attemptRefused(RefusalReason reason) {}

    @Override
    public void ownerEventDropped(StreamVerdict verdict) {}

    @Override
    public void promptServed(long promptTokens, long cachedTokens) {}

    @Override
    public void memoryReleased() {}

    @Override
    public void orderSent(boolean taken) {}
}
