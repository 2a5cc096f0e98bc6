package org.apricotstack.core.configuration;

import java.util.SortedMap;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.ModelId;
import org.apricotstack.core.id.PresetId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * The typed documents of one version of the configuration.
 *
 * @param accounts client accounts by name
 * @param services services by name
 * @param models models by name
 * @param groups groups by name
 * @param upstreams upstreams by name
 * @param presets presets by name
 * @param presetInForce the name of the one preset in force
 * @param limits limits of the whole fleet
 */
public record ConfigurationParts(
        SortedMap<ClientAccountId, ClientAccount> accounts,
        SortedMap<ServiceId, Service> services,
        SortedMap<ModelId, Model> models,
        SortedMap<GroupId, Group> groups,
        SortedMap<UpstreamId, Upstream> upstreams,
        SortedMap<PresetId, Preset> presets,
        PresetId presetInForce,
        FleetLimits limits) {}
