package org.apricotstack.bench.trace;

import java.util.List;

/**
 * Parameters of a generated trace.
 *
 * @param seed seed of the random numbers; equal options yield equal traces
 * @param requests number of requests
 * @param perSecond mean request rate per second
 * @param longShare share of prompts over 100,000 tokens
 * @param maxTokens length of the longest prompts
 * @param sharedShare share of prompts with a prefix shared with other prompts
 * @param plainShare share of non-idempotent calls to a plain service
 * @param accounts client accounts, the first with the most traffic
 * @param services names of the services that are called
 */
public record TraceOptions(
        long seed,
        int requests,
        double perSecond,
        double longShare,
        long maxTokens,
        double sharedShare,
        double plainShare,
        List<String> accounts,
        Services services) {

    /**
     * Services of a trace.
     *
     * @param shortService for short prompts
     * @param mediumService for medium prompts
     * @param longService for long prompts
     * @param plainService for non-idempotent calls
     */
    public record Services(String shortService, String mediumService, String longService, String plainService) {}
}
