package org.apricotstack.core.upstream;

/**
 * A time in which an upstream wants nothing from this router.
 *
 * @param sinceMillis when the first answer came that asked for it
 * @param untilMillis when it is over
 */
public record BackOff(long sinceMillis, long untilMillis) {}
