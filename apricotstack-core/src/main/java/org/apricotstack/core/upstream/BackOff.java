package org.apricotstack.core.upstream;

/**
 * A period during which this router must not send requests to an upstream.
 *
 * @param sinceMillis time of the first response that requested it
 * @param untilMillis time at which it expires
 */
public record BackOff(long sinceMillis, long untilMillis) {}
