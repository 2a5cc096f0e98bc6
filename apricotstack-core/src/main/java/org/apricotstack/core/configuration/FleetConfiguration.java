package org.apricotstack.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.ModelId;
import org.apricotstack.core.id.PresetId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/** One version of the published configuration, checked and immutable. */
public final class FleetConfiguration {

    private final long version;
    private final ConfigurationParts parts;
    private final Preset presetInForce;
    private final Map<String, ClientAccount> accountsByKeyDigest = new HashMap<>();
    private final Map<GroupId, List<Upstream>> upstreamsByGroup = new HashMap<>();
    private final Map<TargetKey, List<Group>> groupsByTarget = new HashMap<>();
    private final Map<TargetKey, Map<DataCentreId, List<Group>>> groupsByDataCentre = new HashMap<>();
    private final Map<GroupId, Long> memoryByGroup = new HashMap<>();

    /**
     * Creates a configuration from parts that passed {@link ConfigurationCheck}.
     *
     * @param version the version assigned by the platform
     * @param parts the parts
     */
    public FleetConfiguration(long version, ConfigurationParts parts) {
        this.version = version;
        this.parts = parts;
        this.presetInForce = parts.presets().get(parts.presetInForce());
        for (ClientAccount account : parts.accounts().values()) {
            account.keyDigests().forEach(digest -> accountsByKeyDigest.put(digest, account));
        }
        for (Upstream upstream : parts.upstreams().values()) {
            upstreamsByGroup
                    .computeIfAbsent(upstream.group(), id -> new ArrayList<>())
                    .add(upstream);
            memoryByGroup.merge(upstream.group(), upstream.memoryTokens(), Long::sum);
        }
        for (Group group : parts.groups().values()) {
            TargetKey target = new TargetKey(group.kind(), group.target());
            groupsByTarget.computeIfAbsent(target, key -> new ArrayList<>()).add(group);
            groupsByDataCentre
                    .computeIfAbsent(target, key -> new HashMap<>())
                    .computeIfAbsent(group.dataCentre(), key -> new ArrayList<>())
                    .add(group);
        }
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the published parts.
     *
     * @return the parts
     */
    public ConfigurationParts parts() {
        return parts;
    }

    /**
     * Returns the preset in force.
     *
     * @return the preset
     */
    public Preset preset() {
        return presetInForce;
    }

    /**
     * Returns the name of the preset in force.
     *
     * @return the name
     */
    public PresetId presetId() {
        return presetInForce.id();
    }

    /**
     * Returns the limits of the fleet.
     *
     * @return the limits
     */
    public FleetLimits limits() {
        return parts.limits();
    }

    /**
     * Finds a client account.
     *
     * @param id its name
     * @return the account, or {@code null}
     */
    public ClientAccount account(ClientAccountId id) {
        return parts.accounts().get(id);
    }

    /**
     * Finds the client account that a key belongs to. The lookup uses digests, so that its duration reveals nothing
     * about a key.
     *
     * @param keyDigest SHA-256 digest of the key, lower-case hexadecimal
     * @return the account, or {@code null}
     */
    public ClientAccount accountByKeyDigest(String keyDigest) {
        return accountsByKeyDigest.get(keyDigest);
    }

    /**
     * Finds a service.
     *
     * @param id its name
     * @return the service, or {@code null}
     */
    public Service service(ServiceId id) {
        return parts.services().get(id);
    }

    /**
     * Finds a group.
     *
     * @param id its name
     * @return the group, or {@code null}
     */
    public Group group(GroupId id) {
        return parts.groups().get(id);
    }

    /**
     * Finds an upstream.
     *
     * @param id its name
     * @return the upstream, or {@code null}
     */
    public Upstream upstream(UpstreamId id) {
        return parts.upstreams().get(id);
    }

    /**
     * Finds a model.
     *
     * @param id its name
     * @return the model, or {@code null}
     */
    public Model model(ModelId id) {
        return parts.models().get(id);
    }

    /**
     * Lists the upstreams of a group.
     *
     * @param id the group
     * @return its upstreams, in the order of their names
     */
    public List<Upstream> upstreams(GroupId id) {
        return upstreamsByGroup.getOrDefault(id, List.of());
    }

    /**
     * Lists the groups that serve a service.
     *
     * @param service the service
     * @return the groups, in the order of their names
     */
    public List<Group> groups(Service service) {
        return groupsByTarget.getOrDefault(new TargetKey(service.kind(), service.target()), List.of());
    }

    /**
     * Lists the groups of one data centre that serve a service.
     *
     * @param service the service
     * @param dataCentre the data centre
     * @return the groups, in the order of their names
     */
    public List<Group> groups(Service service, DataCentreId dataCentre) {
        return groupsByDataCentre
                .getOrDefault(new TargetKey(service.kind(), service.target()), Map.of())
                .getOrDefault(dataCentre, List.of());
    }

    /**
     * Returns the total memory of all engines of a group.
     *
     * @param id the group
     * @return tokens
     */
    public long memoryTokens(GroupId id) {
        return memoryByGroup.getOrDefault(id, 0L);
    }

    /**
     * The key of the target that a group serves.
     *
     * @param kind the kind
     * @param target the model or plain service
     */
    private record TargetKey(ServiceKind kind, String target) {}
}
