package org.apricotstack.core.route;

import org.apricotstack.core.id.ServiceId;

/**
 * One of the services that share the requests of a route.
 *
 * @param service the service
 * @param weight its share relative to the sum of all weights of the route; 0 or more
 */
public record WeightedService(ServiceId service, int weight) {}
