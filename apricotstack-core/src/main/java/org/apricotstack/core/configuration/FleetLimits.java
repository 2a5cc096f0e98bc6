package org.apricotstack.core.configuration;

/**
 * Limits and times that hold for the whole fleet.
 *
 * @param shortTokens longest prompt of class {@link LengthClass#SHORT}, in tokens
 * @param longTokens prompts longer than this are of class {@link LengthClass#LONG}, in tokens
 * @param maxBodyBytes longest body of a request, in bytes
 * @param maxAnswerTokens longest answer that may be asked for, in tokens
 * @param entryKeepMillis how long callers may keep an entry answer, in milliseconds
 * @param ticketValidMillis how long a ticket may be spent, in milliseconds
 * @param heartbeatMillis time between heartbeats inside streams, in milliseconds
 * @param maxQueuedItems requests that one group may hold in its queue
 * @param maxQueuedTokens prompt tokens that one group may hold in its queue
 * @param maxAttempts attempts that one request may take
 * @param retryShare retries as a share of first attempts, 0 to 1
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

    /** Limits that hold where the configuration states none. */
    public static final FleetLimits DEFAULT =
            new FleetLimits(4_000, 100_000, 16L << 20, 16_384, 15_000, 120_000, 500, 2_000, 20_000_000, 4, 0.2);

    /** A stream is taken for lost after this many heartbeat intervals without any event. */
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
     * Returns after which time without an event a stream is taken for lost.
     *
     * @return the time in milliseconds
     */
    public long silenceMillis() {
        return heartbeatMillis * SILENT_HEARTBEATS;
    }
}
