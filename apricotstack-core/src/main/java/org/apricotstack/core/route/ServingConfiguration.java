package org.apricotstack.core.route;

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
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<ServiceId, ServiceProfile> services,
        CallerLimits limits,
        AccountKeys accounts) {

    /** Copies the map. */
    public ServingConfiguration {
        services = Map.copyOf(services);
    }
}
