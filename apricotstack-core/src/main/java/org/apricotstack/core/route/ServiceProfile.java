package org.apricotstack.core.route;

import java.util.Optional;

import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.ServiceId;

/**
 * A service that requests are sent to.
 *
 * @param id the service
 * @param maxConnections maximum number of connections of each of its upstreams
 * @param engine performance profile of its engines; empty for a plain service
 */
public record ServiceProfile(ServiceId id, int maxConnections, Optional<EngineProfile> engine) {}
