package org.apricotstack.core.engine;

import org.apricotstack.core.id.UpstreamId;

/**
 * What one engine does for a placed request.
 *
 * @param engine the engine
 * @param prefillMillis prefill expected of it, in milliseconds at usual pace
 * @param memoryTokens memory that the request takes there, in tokens
 */
public record EnginePart(UpstreamId engine, double prefillMillis, long memoryTokens) {}
