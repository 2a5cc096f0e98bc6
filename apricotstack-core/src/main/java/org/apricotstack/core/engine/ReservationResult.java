package org.apricotstack.core.engine;

import java.util.Locale;

/**
 * What became of a request to reserve memory on an engine.
 *
 * @param kind the outcome
 * @param freeTokens free memory that the engine stated, in tokens; {@link #UNKNOWN_FREE} if it stated none
 */
public record ReservationResult(Kind kind, long freeTokens) {

    /** Free memory of an engine that stated none. */
    public static final long UNKNOWN_FREE = -1;

    /** The memory is reserved. */
    public static final ReservationResult RESERVED = new ReservationResult(Kind.RESERVED, UNKNOWN_FREE);

    /** The engine rejected the call for another reason than missing memory. */
    public static final ReservationResult REJECTED = new ReservationResult(Kind.REJECTED, UNKNOWN_FREE);

    /** The call was not answered. */
    public static final ReservationResult UNANSWERED = new ReservationResult(Kind.UNANSWERED, UNKNOWN_FREE);

    /** Outcomes of a call. */
    public enum Kind {
        /** The memory is reserved. */
        RESERVED,
        /** The engine does not have the memory, or too many reservations. */
        NO_MEMORY,
        /** The engine accepts no reservations. */
        REJECTED,
        /** The call was not answered; the memory may be reserved late. */
        UNANSWERED;

        /**
         * Returns the name used in logs and counters.
         *
         * @return the constant's name in lower case
         */
        public String code() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Returns the result of an engine that does not have the memory.
     *
     * @param freeTokens free memory that it stated, in tokens; {@link #UNKNOWN_FREE} if it stated none
     * @return the result
     */
    public static ReservationResult noMemory(long freeTokens) {
        return new ReservationResult(Kind.NO_MEMORY, freeTokens);
    }

    /**
     * Tells whether the engine refuses all help now. An engine that leaves rejects reservations as if it lacked the
     * memory, though it states enough.
     *
     * @param tokens the memory that was requested, in tokens
     * @return whether it rejected the call for another reason than missing memory
     */
    public boolean refusesHelp(long tokens) {
        return kind == Kind.REJECTED || kind == Kind.NO_MEMORY && freeTokens >= tokens;
    }

    /**
     * Tells whether the memory is reserved.
     *
     * @return whether it is
     */
    public boolean isReserved() {
        return kind == Kind.RESERVED;
    }
}
