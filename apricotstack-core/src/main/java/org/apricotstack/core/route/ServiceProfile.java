package org.apricotstack.core.route;

import java.util.Optional;

import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.ServiceId;

/**
 * A service that requests are sent to.
 *
 * @param id the service
 * @param maxConnections maximum number of connections of each of its upstreams
 * @param coldStartMillis time for which an upstream is cold after its start, in milliseconds; 0 if it never is
 * @param coldPerSecond requests per second that a cold upstream tolerates; 0 if not specified
 * @param engine performance profile of its engines; empty for a plain service
 */
public record ServiceProfile(
        ServiceId id, int maxConnections, long coldStartMillis, double coldPerSecond, Optional<EngineProfile> engine) {

    /**
     * Creates a service whose upstreams are never cold.
     *
     * @param id the service
     * @param maxConnections maximum number of connections of each of its upstreams
     * @param engine performance profile of its engines; empty for a plain service
     */
    public ServiceProfile(ServiceId id, int maxConnections, Optional<EngineProfile> engine) {
        this(id, maxConnections, 0, 0, engine);
    }
}
