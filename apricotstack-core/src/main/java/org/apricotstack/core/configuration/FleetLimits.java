package org.apricotstack.core.configuration;

/**
 * Limits and times that apply to the whole fleet.
 *
 * @param shortTokens maximum length of a prompt of class {@link LengthClass#SHORT}, in tokens
 * @param longTokens prompts longer than this are of class {@link LengthClass#LONG}, in tokens
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxAnswerTokens maximum length of an answer that may be requested, in tokens
 * @param entryKeepMillis time for which callers may cache the addresses of entry routers, in milliseconds
 * @param ticketValidMillis time for which a ticket may be spent, in milliseconds
 * @param heartbeatMillis time between heartbeats inside streams, in milliseconds
 * @param maxQueuedItems maximum number of queued requests of a group
 * @param maxQueuedTokens maximum number of queued prompt tokens of a group
 * @param maxAttempts maximum number of attempts of a request
 * @param retryShare retry budget as a share of first attempts, 0 to 1
 */
public record FleetLimits(
        long shortTokens,
        long longTokens,
        long maxBodyBytes,
        long maxAnswerTokens,
        long entryKeepMillis,
        long ticketValidMillis,
        long heartbeatMillis,
        int maxQueuedItems,
        long maxQueuedTokens,
        int maxAttempts,
        double retryShare) {

    /** Limits that apply if the configuration contains none. */
    public static final FleetLimits DEFAULT =
            new FleetLimits(4_000, 100_000, 16L << 20, 16_384, 15_000, 120_000, 500, 2_000, 20_000_000, 4, 0.2);

    /** Number of heartbeat intervals without any event after which a stream counts as lost. */
    private static final int SILENT_HEARTBEATS = 4;

    /**
     * Returns the class of a prompt.
     *
     * @param promptTokens its length in tokens
     * @return the class
     */
    public LengthClass lengthClass(long promptTokens) {
        if (promptTokens <= shortTokens) {
            return LengthClass.SHORT;
        }
        return promptTokens <= longTokens ? LengthClass.MEDIUM : LengthClass.LONG;
    }

    /**
     * Returns the time without an event after which a stream counts as lost.
     *
     * @return the time in milliseconds
     */
    public long silenceMillis() {
        return heartbeatMillis * SILENT_HEARTBEATS;
    }
}
