package org.apricotstack.core.order;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;

/**
 * The state that an engine should have. It is always complete, so sending it twice is harmless.
 *
 * @param upstream the engine
 * @param model the model to serve
 * @param revision the revision of its weights
 * @param adapters adapters to load
 * @param role the role of the engine
 * @param fencing fencing number, which grows with each configuration version; an engine that checks it refuses lower
 *     ones
 */
public record DesiredUpstreamState(
        UpstreamId upstream, String model, String revision, List<String> adapters, String role, long fencing) {

    /**
     * Tells whether an engine already has this state, whichever version requested it.
     *
     * @param state the state that the engine reports
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
