package org.apricotstack.adapters.configuration;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.JsonFields;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.Model;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.ModelId;
import org.apricotstack.core.id.Names;
import org.apricotstack.core.id.PresetId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/** Converts a configuration document to a typed value. The key determines the kind of the document. */
final class ConfigurationDocuments {

    private static final String KEYS = "a key accounts/NAME, services/NAME, models/NAME, groups/NAME, upstreams/NAME, "
            + "presets/NAME, fleet/preset or fleet/limits";
    private static final String NAME = "a name";
    private static final String KIND = "\"completion\" or \"plain\"";
    private static final long DAY_MILLIS = 86_400_000L;
    private static final long MAX_COUNT = 1L << 40;

    private ConfigurationDocuments() {}

    /**
     * Reads a document.
     *
     * @param key its key
     * @param tree its content
     * @param problems receives the problems
     * @return the typed value, invalid if there are problems; {@code null} for an unknown key
     */
    static Object read(String key, JsonNode tree, List<Problem> problems) {
        int slash = key.indexOf('/');
        String kind = slash < 0 ? key : key.substring(0, slash);
        String name = key.substring(slash + 1);
        if (slash < 0 || !Names.isValid(name)) {
            problems.add(new Problem(key, "", "a key of another form", KEYS));
            return null;
        }
        JsonFields fields = new JsonFields(key, "", tree, problems::add);
        Object value =
                switch (kind) {
                    case "accounts" -> account(name, fields);
                    case "services" -> service(name, fields);
                    case "models" -> model(name, fields);
                    case "groups" -> group(name, fields);
                    case "upstreams" -> upstream(name, fields);
                    case "presets" -> preset(name, fields);
                    case "fleet" -> fleet(name, fields);
                    default -> null;
                };
        if (value == null && problems.isEmpty()) {
            problems.add(new Problem(key, "", "a key of another form", KEYS));
            return null;
        }
        fields.finish();
        return value;
    }

    /** Reads a client account. */
    private static ClientAccount account(String name, JsonFields fields) {
        return new ClientAccount(
                new ClientAccountId(name),
                fields.list("keyDigests", true, "a SHA-256 digest in hexadecimal", KeyDigests::require),
                Set.copyOf(fields.list("services", true, NAME, ServiceId::new)),
                fields.number("tokensPerSecond", null, 1, MAX_COUNT),
                fields.number("burstTokens", null, 1, MAX_COUNT),
                (int) fields.number("maxConcurrent", null, 1, 1_000_000));
    }

    /** Reads a service. */
    private static Service service(String name, JsonFields fields) {
        return new Service(
                new ServiceId(name),
                kind(fields),
                fields.value("target", null, NAME, text -> new ServiceId(text).value()),
                (int) fields.number("priority", null, 0, Service.LEAST_URGENT),
                fields.flag("repeatable", null),
                fields.number("timeLimitMillis", null, 1, DAY_MILLIS),
                fields.number("maxTimeLimitMillis", null, 1, DAY_MILLIS));
    }

    /** Reads a model. */
    private static Model model(String name, JsonFields fields) {
        return new Model(
                new ModelId(name),
                fields.text("revision", null),
                fields.list("adapters", false, NAME, text -> new ModelId(text).value()),
                fields.flag("deterministic", false));
    }

    /** Reads a group. */
    private static Group group(String name, JsonFields fields) {
        return new Group(
                new GroupId(name),
                fields.value("dataCentre", null, NAME, DataCentreId::new),
                kind(fields),
                fields.value("target", null, NAME, text -> new ServiceId(text).value()));
    }

    /** Reads an upstream. */
    private static Upstream upstream(String name, JsonFields fields) {
        return new Upstream(
                new UpstreamId(name),
                fields.value("group", null, NAME, GroupId::new),
                fields.value("address", null, "an address IP:PORT", Address::parse),
                fields.number("memoryTokens", 0L, 0, MAX_COUNT),
                (int) fields.number("maxStreams", null, 1, 1_000_000),
                fields.flag("checksOrders", true),
                fields.flag("refusesOldFencing", true),
                fields.text("role", ""));
    }

    /** Reads a preset. */
    private static Preset preset(String name, JsonFields fields) {
        return new Preset(
                new PresetId(name),
                fields.fraction("slowdownWeight", null, 0, 1),
                fields.fraction("shortShare", null, 0, 0.9),
                (int) fields.number("shedFromPriority", Service.LEAST_URGENT + 1L, 0, Service.LEAST_URGENT + 1),
                fields.fraction("limitFactor", 1.0, 0.01, 100));
    }

    /** Reads a document that applies to the whole fleet. */
    private static Object fleet(String name, JsonFields fields) {
        return switch (name) {
            case "preset" -> fields.value("preset", null, NAME, PresetId::new);
            case "limits" -> limits(fields);
            default -> null;
        };
    }

    /** Reads the limits of the fleet, all of which have defaults. */
    private static FleetLimits limits(JsonFields fields) {
        FleetLimits defaults = FleetLimits.DEFAULT;
        return new FleetLimits(
                fields.number("shortTokens", defaults.shortTokens(), 1, MAX_COUNT),
                fields.number("longTokens", defaults.longTokens(), 1, MAX_COUNT),
                fields.number("maxBodyBytes", defaults.maxBodyBytes(), 1, 1L << 30),
                fields.number("maxAnswerTokens", defaults.maxAnswerTokens(), 1, MAX_COUNT),
                fields.number("entryKeepMillis", defaults.entryKeepMillis(), 100, DAY_MILLIS),
                fields.number("ticketValidMillis", defaults.ticketValidMillis(), 100, DAY_MILLIS),
                fields.number("heartbeatMillis", defaults.heartbeatMillis(), 20, 60_000),
                (int) fields.number("maxQueuedItems", (long) defaults.maxQueuedItems(), 1, 1_000_000),
                fields.number("maxQueuedTokens", defaults.maxQueuedTokens(), 1, MAX_COUNT),
                (int) fields.number("maxAttempts", (long) defaults.maxAttempts(), 1, 16),
                fields.fraction("retryShare", defaults.retryShare(), 0, 1));
    }

    /** Reads the kind of a service or group. */
    private static ServiceKind kind(JsonFields fields) {
        return fields.value("kind", null, KIND, text -> ServiceKind.valueOf(text.toUpperCase(Locale.ROOT)));
    }
}
