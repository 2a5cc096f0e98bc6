package org.apricotstack.core.routing;

/** Chooses the group that runs a request. */
public interface GroupChooser {

    /**
     * Chooses a group.
     *
     * @param request the inputs of the choice
     * @return the group and why
     */
    GroupChoice choose(RoutingRequest request);
}
