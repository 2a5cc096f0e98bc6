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
 * @param accounts client accounts by id
 * @param services services by id
 * @param models models by id
 * @param groups groups by id
 * @param upstreams upstreams by id
 * @param presets presets by id
 * @param presetInForce the id of the one preset in force
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
