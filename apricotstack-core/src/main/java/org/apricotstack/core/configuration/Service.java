package org.apricotstack.core.configuration;

import org.apricotstack.core.id.ServiceId;

/**
 * A service that callers name in their requests.
 *
 * @param id the name
 * @param kind what stands behind it
 * @param target the model of a {@link ServiceKind#COMPLETION}, or the name of the plain service
 * @param priority 0 for the most urgent to 9 for the least; presets shed from the least urgent on
 * @param repeatable whether running a request twice is harmless
 * @param timeLimitMillis time limit of a request that states none, in milliseconds
 * @param maxTimeLimitMillis longest time limit that a request may state, in milliseconds
 */
public record Service(
        ServiceId id,
        ServiceKind kind,
        String target,
        int priority,
        boolean repeatable,
        long timeLimitMillis,
        long maxTimeLimitMillis) {

    /** The least urgent priority. */
    public static final int LEAST_URGENT = 9;
}
