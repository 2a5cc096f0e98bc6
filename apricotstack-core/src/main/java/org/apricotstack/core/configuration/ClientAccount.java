package org.apricotstack.core.configuration;

import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.ServiceId;

/**
 * A client account with its credentials and limits.
 *
 * @param id the name
 * @param keyDigests SHA-256 digests of the keys, in lower-case hexadecimal; keys themselves are not published
 * @param services the services that it may use
 * @param tokensPerSecond prompt and answer tokens that it may spend a second over the whole fleet
 * @param burstTokens tokens that it may spend at once over the whole fleet
 * @param maxConcurrent requests that it may have running over the whole fleet
 */
public record ClientAccount(
        ClientAccountId id,
        List<String> keyDigests,
        Set<ServiceId> services,
        long tokensPerSecond,
        long burstTokens,
        int maxConcurrent) {}
