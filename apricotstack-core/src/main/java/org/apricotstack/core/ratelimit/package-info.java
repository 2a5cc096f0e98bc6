/** Keeps the requests of all routers to an upstream within the rate limit that it advertises. */
package org.apricotstack.core.ratelimit;
