package org.apricotstack.core.configuration;

import org.apricotstack.core.id.ServiceId;

/**
 * A service that callers address in their requests.
 *
 * @param id its id
 * @param kind the kind of its upstreams
 * @param target the model of a {@link ServiceKind#COMPLETION}, or the name of the plain service
 * @param priority 0 for the most urgent to 9 for the least urgent; presets shed the least urgent first
 * @param repeatable whether running a request twice is harmless
 * @param timeLimitMillis default time limit of a request, in milliseconds
 * @param maxTimeLimitMillis maximum time limit that a request may set, in milliseconds
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
