package org.apricotstack.core.dispatch;

/** Defines the order of waiting attempts. */
public interface QueueOrder {

    /**
     * Rates an attempt; the highest rating comes first.
     *
     * @param item the attempt
     * @param prefillMillis predicted time of its prefill on an idle engine, in milliseconds
     * @param nowNanos the local clock
     * @return the rating
     */
    double rate(QueuedAttempt item, double prefillMillis, long nowNanos);
}
