package org.apricotstack.core.ratelimit;

/**
 * The reply of a permit issuer to a permit request.
 *
 * @param permits number of requests that may be sent
 * @param retryAfterMillis time after which the router should request permits again, in milliseconds
 */
public record PermitGrant(int permits, long retryAfterMillis) {}
