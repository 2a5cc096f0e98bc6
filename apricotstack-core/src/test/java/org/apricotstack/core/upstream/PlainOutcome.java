package org.apricotstack.core.upstream;

import java.util.List;

/**
 * The outcome of a simulated load.
 *
 * @param shareInTime share of the requests that were served in time
 * @param p95Millis 95th percentile of the time to a successful answer, in milliseconds
 * @param sent number of attempts by upstream
 * @param found how often a router found an upstream slow
 */
record PlainOutcome(double shareInTime, long p95Millis, List<Integer> sent, int found) {}
