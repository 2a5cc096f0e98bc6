package org.apricotstack.core.routing;

import java.util.List;

import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.id.DataCentreId;

/**
 * The inputs of the choice of a group.
 *
 * @param candidates groups that can serve the request, not empty
 * @param lengthClass its class
 * @param promptTokens its length in tokens
 * @param affinity the candidate that its prefix maps to; {@code null} for none
 * @param local data centre of this router
 */
public record RoutingRequest(
        List<Group> candidates, LengthClass lengthClass, long promptTokens, Group affinity, DataCentreId local) {}
