package org.apricotstack.core.ratelimit;

/**
 * A cold period of an upstream.
 *
 * @param sinceMillis time from which the upstream is known to be cold
 * @param untilMillis time at which it is warm
 * @param learntMillis time of the newest knowledge
 * @param source what that knowledge came from
 */
public record ColdState(long sinceMillis, long untilMillis, long learntMillis, ColdSource source) {}
