package org.apricotstack.core.configuration;

import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.ServiceId;

/**
 * A client account with its credentials and limits.
 *
 * @param id its id
 * @param keyDigests SHA-256 digests of the keys, in lower-case hexadecimal; keys themselves are not published
 * @param services the services that it may use
 * @param tokensPerSecond rate limit in prompt and answer tokens per second over the whole fleet
 * @param burstTokens burst size of the rate limit, in tokens over the whole fleet
 * @param maxConcurrent maximum number of running requests over the whole fleet
 */
public record ClientAccount(
        ClientAccountId id,
        List<String> keyDigests,
        Set<ServiceId> services,
        long tokensPerSecond,
        long burstTokens,
        int maxConcurrent) {}
