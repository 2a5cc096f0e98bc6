package org.apricotstack.bench.trace;

import java.util.List;

/**
 * What a generated trace is to be like.
 *
 * @param seed the seed; equal options give equal traces
 * @param requests number of requests
 * @param perSecond mean rate of requests
 * @param longShare share of prompts over 100,000 tokens
 * @param mostTokens length of the longest prompts
 * @param sharedShare share of prompts that begin with a prefix that others have too
 * @param plainShare share of calls to a plain service that must not be repeated
 * @param accounts client accounts, the first with the most traffic
 * @param services names of the services to ask for
 */
public record TraceOptions(
        long seed,
        int requests,
        double perSecond,
        double longShare,
        long mostTokens,
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
     * @param plainService for calls that must not be repeated
     */
    public record Services(String shortService, String mediumService, String longService, String plainService) {}
}
