package org.apricotstack.core.routing;

/** Chooses the group that is to run a request. */
public interface GroupChooser {

    /**
     * Chooses a group.
     *
     * @param request what the choice depends on
     * @return the group and why
     */
    GroupChoice choose(RoutingRequest request);
}
