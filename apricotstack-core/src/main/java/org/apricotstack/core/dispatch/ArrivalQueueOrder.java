package org.apricotstack.core.dispatch;

/** First come, first served; a baseline for measurements. */
public final class ArrivalQueueOrder implements QueueOrder {

    @Override
    public double rate(QueuedAttempt item, double prefillMillis, long nowNanos) {
        return nowNanos - item.arrivedNanos();
    }
}
