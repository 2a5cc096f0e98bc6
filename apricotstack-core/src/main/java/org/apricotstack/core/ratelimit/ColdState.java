package org.apricotstack.core.ratelimit;

/**
 * A cold period of an upstream.
 *
 * @param sinceMillis time from which the upstream is known to be cold
 * @param untilMillis time at which it is warm
 * @param learntMillis time of the newest knowledge
 * @param source what that knowledge came from
 */
public record ColdState(long sinceMillis, long untilMillis, long learntMillis, ColdSource source) {

    /** Time before a cold period is known in which requests without permits count against it, in milliseconds. */
    private static final long UNCOUNTED_MILLIS = 1_000;

    /**
     * Returns the time from which requests may have been sent that no permit counts. An upstream that was just started
     * received none before it was listed.
     *
     * @return time in milliseconds
     */
    long uncountedSinceMillis() {
        return source == ColdSource.START ? sinceMillis : sinceMillis - UNCOUNTED_MILLIS;
    }
}
