/** Keeps what all routers together send to an upstream within the rate limit that it names. */
package org.apricotstack.core.ratelimit;
