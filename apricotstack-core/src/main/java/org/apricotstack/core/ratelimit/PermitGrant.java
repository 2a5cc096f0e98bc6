package org.apricotstack.core.ratelimit;

/**
 * What the keeper of a limit answers to a router that asks for permits.
 *
 * @param permits requests that may be sent; each permit is for one
 * @param againMillis time before which asking again is of no use, in milliseconds
 */
public record PermitGrant(int permits, long againMillis) {}
