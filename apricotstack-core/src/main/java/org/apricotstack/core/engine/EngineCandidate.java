package org.apricotstack.core.engine;

import org.apricotstack.core.id.UpstreamId;

/**
 * An engine that may run a request.
 *
 * @param engine the engine
 * @param load its estimated load
 * @param failureProbability probability that a request sent to it fails, 0 to 1
 * @param reservable whether memory may be reserved on it
 * @param mayHelp whether it may prefill parts of prompts for other lead engines
 */
public record EngineCandidate(
        UpstreamId engine, EngineLoad load, double failureProbability, boolean reservable, boolean mayHelp) {

    /**
     * Creates an engine that may help others.
     *
     * @param engine the engine
     * @param load its estimated load
     * @param failureProbability probability that a request sent to it fails, 0 to 1
     * @param reservable whether memory may be reserved on it
     */
    public EngineCandidate(UpstreamId engine, EngineLoad load, double failureProbability, boolean reservable) {
        this(engine, load, failureProbability, reservable, true);
    }
}
