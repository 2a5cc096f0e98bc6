package org.apricotstack.core.configuration;

import org.apricotstack.core.id.PresetId;

/**
 * A set of scheduling weights and load-shedding limits; exactly one preset is in force.
 *
 * @param id its id
 * @param slowdownWeight 0 to 1: weight in the queue order of the slowdown of short prompts against the time to first
 *     token over all lengths
 * @param shortShare 0 to 1: share of each engine's memory that is reserved for short prompts while any are waiting
 * @param shedFromPriority services of this priority and less urgent ones are shed; 10 sheds none
 * @param limitFactor factor on the token rates of all client accounts
 */
public record Preset(PresetId id, double slowdownWeight, double shortShare, int shedFromPriority, double limitFactor) {

    /**
     * Tells whether a service is shed.
     *
     * @param service the service
     * @return whether its priority is shed
     */
    public boolean sheds(Service service) {
        return service.priority() >= shedFromPriority;
    }
}
