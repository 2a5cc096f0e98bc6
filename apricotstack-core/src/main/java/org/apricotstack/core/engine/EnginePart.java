package org.apricotstack.core.engine;

import org.apricotstack.core.id.UpstreamId;

/**
 * The part of one engine in a placement.
 *
 * @param engine the engine
 * @param prefillMillis expected prefill on it at the published speed, in milliseconds
 * @param memoryTokens memory that the request uses on it, in tokens
 */
public record EnginePart(UpstreamId engine, double prefillMillis, long memoryTokens) {}
