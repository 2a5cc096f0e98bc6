package org.apricotstack.core.fleet;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;

import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.ConfigurationParts;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.Model;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.ModelId;
import org.apricotstack.core.id.PresetId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/** A small configuration for tests: two data centres with two engines and two plain replicas each. */
public final class FleetConfigurations {

    /** The digest of the one account's key. */
    public static final String KEY_DIGEST = "digest";

    /** Time limit of the services, in milliseconds. */
    public static final long LIMIT_MILLIS = 3_000;

    private FleetConfigurations() {}

    /** Builds version 1. */
    public static FleetConfiguration small() {
        return small(1, FleetLimits.DEFAULT);
    }

    /** Builds a version with the given limits. */
    public static FleetConfiguration small(long version, FleetLimits limits) {
        ConfigurationParts parts = new ConfigurationParts(
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new PresetId("ordinary"),
                limits);
        ServiceId answer = new ServiceId("answer");
        ServiceId confirm = new ServiceId("confirm");
        parts.accounts()
                .put(
                        new ClientAccountId("acme"),
                        new ClientAccount(
                                new ClientAccountId("acme"),
                                List.of(KEY_DIGEST),
                                Set.of(answer, confirm),
                                1L << 30,
                                1L << 30,
                                100_000));
        parts.services()
                .put(answer, new Service(answer, ServiceKind.COMPLETION, "m", 0, true, LIMIT_MILLIS, LIMIT_MILLIS));
        parts.services()
                .put(confirm, new Service(confirm, ServiceKind.PLAIN, "app", 0, false, LIMIT_MILLIS, LIMIT_MILLIS));
        parts.models().put(new ModelId("m"), new Model(new ModelId("m"), "r1", List.of(), true));
        parts.presets().put(new PresetId("ordinary"), new Preset(new PresetId("ordinary"), 0.5, 0.2, 10, 1));
        for (String dataCentre : List.of("dc1", "dc2")) {
            addGroup(parts, "m-" + dataCentre, dataCentre, ServiceKind.COMPLETION, "m", 100_000);
            addGroup(parts, "app-" + dataCentre, dataCentre, ServiceKind.PLAIN, "app", 0);
        }
        return new FleetConfiguration(version, parts);
    }

    private static void addGroup(
            ConfigurationParts parts, String name, String dataCentre, ServiceKind kind, String target, long memory) {
        GroupId id = new GroupId(name);
        parts.groups().put(id, new Group(id, new DataCentreId(dataCentre), kind, target));
        for (int i = 1; i <= 2; i++) {
            UpstreamId upstream = new UpstreamId(name + "-" + i);
            Address address = new Address("127.0.0.1", i);
            parts.upstreams().put(upstream, new Upstream(upstream, id, address, memory, 64, true, true, "mixed"));
        }
    }
}
