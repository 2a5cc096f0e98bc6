package org.apricotstack.core.route;

import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.ServiceId;

/**
 * One published version of the routes, services, limits and accounts.
 *
 * @param version its version, which increases with each publication
 * @param routes the routes
 * @param services the services by id
 * @param limits limits on what callers send
 * @param accounts the client accounts by key
 * @param unusableParts descriptions of the parts of the document that cannot be used, which allow nothing
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<ServiceId, ServiceProfile> services,
        CallerLimits limits,
        AccountKeys accounts,
        List<String> unusableParts) {

    /** Copies the collections. */
    public ServingConfiguration {
        services = Map.copyOf(services);
        unusableParts = List.copyOf(unusableParts);
    }

    /**
     * Creates a configuration all parts of which can be used.
     *
     * @param version its version, which increases with each publication
     * @param routes the routes
     * @param services the services by id
     * @param limits limits on what callers send
     * @param accounts the client accounts by key
     */
    public ServingConfiguration(
            long version,
            RouteTable routes,
            Map<ServiceId, ServiceProfile> services,
            CallerLimits limits,
            AccountKeys accounts) {
        this(version, routes, services, limits, accounts, List.of());
    }
}
