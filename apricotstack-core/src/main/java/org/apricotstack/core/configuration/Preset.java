package org.apricotstack.core.configuration;

import org.apricotstack.core.id.PresetId;

/**
 * Operating weights; exactly one preset is in force.
 *
 * @param id the name
 * @param slowdownWeight 0 to 1: how much the order of the queue weighs the slowdown of short prompts against the time
 *     to first token over all lengths
 * @param shortShare 0 to 1: the share of each engine's memory that only short prompts may use while any are waiting
 * @param shedFromPriority services of this priority and less urgent ones are turned away; 10 turns none away
 * @param limitFactor factor on the token rates of all client accounts
 */
public record Preset(PresetId id, double slowdownWeight, double shortShare, int shedFromPriority, double limitFactor) {

    /**
     * Tells whether a service is turned away.
     *
     * @param service the service
     * @return whether its priority is shed
     */
    public boolean sheds(Service service) {
        return service.priority() >= shedFromPriority;
    }
}
