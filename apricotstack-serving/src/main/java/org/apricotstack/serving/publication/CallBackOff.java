package org.apricotstack.serving.publication;

import org.apache.commons.rng.UniformRandomProvider;

/** The exponential back-off with jitter between calls to the platform that fail. */
final class CallBackOff {

    /** Back-off after the first failure, in milliseconds, before jitter. */
    private static final long MIN_BACK_OFF_MILLIS = 60;

    /** Longest back-off, in milliseconds, before jitter; bounds the time until a recovered platform is noticed. */
    private static final long MAX_BACK_OFF_MILLIS = 700;

    private final UniformRandomProvider random;
    private long backOffMillis = MIN_BACK_OFF_MILLIS;

    /** Creates a back-off for the first failure. */
    CallBackOff(UniformRandomProvider random) {
        this.random = random;
    }

    /** Returns the delay before the next call, in milliseconds, and doubles the one after it. */
    long nextMillis() {
        long delayMillis = backOffMillis / 2 + random.nextLong(backOffMillis);
        backOffMillis = Math.min(MAX_BACK_OFF_MILLIS, 2 * backOffMillis);
        return delayMillis;
    }

    /** Starts over after a response that was applied. */
    void reset() {
        backOffMillis = MIN_BACK_OFF_MILLIS;
    }
}
