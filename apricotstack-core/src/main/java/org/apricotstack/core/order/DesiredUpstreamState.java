package org.apricotstack.core.order;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;

/**
 * What an engine is to be: an order states the whole wanted state, so giving it twice is harmless.
 *
 * @param upstream the engine
 * @param model the model to serve
 * @param revision the revision of its weights
 * @param adapters adapters to load
 * @param role the role to play
 * @param fencing number that grows with each version of the configuration; an engine that checks refuses lower ones
 */
public record DesiredUpstreamState(
        UpstreamId upstream, String model, String revision, List<String> adapters, String role, long fencing) {

    /**
     * Tells whether an engine is what this order wants, whichever version ordered it.
     *
     * @param state what the engine says it is
     * @return whether no order is needed
     */
    public boolean isSatisfiedBy(DesiredUpstreamState state) {
        return state != null
                && model.equals(state.model)
                && revision.equals(state.revision)
                && adapters.equals(state.adapters)
                && role.equals(state.role);
    }
}
