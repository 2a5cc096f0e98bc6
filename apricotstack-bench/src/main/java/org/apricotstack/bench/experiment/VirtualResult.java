package org.apricotstack.bench.experiment;

/**
 * Result of a request in virtual time.
 *
 * @param promptTokens length of its prompt
 * @param end its outcome
 * @param firstTokenMillis time to first token, in milliseconds; negative if there was none
 * @param totalMillis time to its end, in milliseconds
 * @param idleMillis time to first token on an idle engine, in milliseconds
 */
record VirtualResult(long promptTokens, End end, double firstTokenMillis, double totalMillis, double idleMillis) {

    /** Outcomes. */
    enum End {
        /** The answer is complete. */
        COMPLETED,
        /** Refused on arrival. */
        REFUSED,
        /** Removed from the queue because it could no longer meet its time limit. */
        EXPIRED
    }
}
