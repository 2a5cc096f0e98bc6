package org.apricotstack.core.engine;

import org.apricotstack.core.id.UpstreamId;

/**
 * An engine that may run a request.
 *
 * @param engine the engine
 * @param load what it is believed to be doing
 * @param failureProbability probability that a request sent to it fails, 0 to 1
 * @param reservable whether memory may be reserved at it
 * @param mayHelp whether it may read parts of prompts that other engines answer
 */
public record EngineCandidate(
        UpstreamId engine, EngineLoad load, double failureProbability, boolean reservable, boolean mayHelp) {

    /**
     * Creates an engine that may help others.
     *
     * @param engine the engine
     * @param load what it is believed to be doing
     * @param failureProbability probability that a request sent to it fails, 0 to 1
     * @param reservable whether memory may be reserved at it
     */
    public EngineCandidate(UpstreamId engine, EngineLoad load, double failureProbability, boolean reservable) {
        this(engine, load, failureProbability, reservable, true);
    }
}
