package org.apricotstack.core.order;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.Model;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.ModelId;

/**
 * Derives the desired states of the engines from the configuration alone.
 *
 * <p>Two routers at the same version derive the same state with the same fencing number, so no leader is needed. A
 * router that resumes with an old version sends a lower number, which engines that check it refuse. For engines that
 * do not check it, the owner reads back the actual state and sends the order again.
 */
public final class DesiredUpstreamStates {

    private DesiredUpstreamStates() {}

    /**
     * Lists the desired states of the engines of a group.
     *
     * @param configuration the configuration in force
     * @param group the group
     * @return a state for each engine; none for plain services
     */
    public static List<DesiredUpstreamState> of(FleetConfiguration configuration, Group group) {
        if (group.kind() != ServiceKind.COMPLETION) {
            return List.of();
        }
        Model model = configuration.model(new ModelId(group.target()));
        List<DesiredUpstreamState> states = new ArrayList<>();
        for (Upstream upstream : configuration.upstreams(group.id())) {
            states.add(new DesiredUpstreamState(
                    upstream.id(),
                    model.id().value(),
                    model.revision(),
                    model.adapters(),
                    upstream.role(),
                    configuration.version()));
        }
        return states;
    }
}
