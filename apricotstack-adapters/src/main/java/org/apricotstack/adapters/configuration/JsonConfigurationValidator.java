package org.apricotstack.adapters.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.ConfigurationCheck;
import org.apricotstack.core.configuration.ConfigurationParts;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.Model;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.PresetId;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.DocumentValidator;
import org.apricotstack.core.replication.Validated;

/**
 * Parses and validates the configuration documents.
 *
 * <p>Documents that did not change since the last version are not parsed again: with thousands of client accounts and
 * upstreams and a change every few seconds, parsing all of them each time would exceed the entire CPU budget for
 * control-plane work.
 */
public final class JsonConfigurationValidator implements DocumentValidator<FleetConfiguration> {

    private Map<String, Parsed> cache = new HashMap<>();

    @Override
    public synchronized Validated<FleetConfiguration> validate(DocumentSet documents) {
        List<Problem> problems = new ArrayList<>();
        Map<String, Parsed> next = new HashMap<>();
        PartsBuilder parts = new PartsBuilder();
        for (Document document : documents.documents().values()) {
            Parsed known = cache.get(document.key());
            Parsed parsed = known != null && known.document.equals(document) ? known : parse(document);
            next.put(document.key(), parsed);
            problems.addAll(parsed.problems);
            if (parsed.problems.isEmpty()) {
                parts.add(parsed.value);
            }
        }
        cache = next;
        ConfigurationParts built = parts.build();
        if (problems.isEmpty()) {
            problems.addAll(ConfigurationCheck.check(built));
        }
        return problems.isEmpty()
                ? new Validated<>(new FleetConfiguration(documents.version(), built), List.of())
                : new Validated<>(null, problems);
    }

    /** Parses one document. */
    private static Parsed parse(Document document) {
        List<Problem> problems = new ArrayList<>();
        Object value = null;
        try {
            JsonNode tree = Json.COMMENTED.readTree(document.body());
            value = ConfigurationDocuments.read(document.key(), tree, problems);
        } catch (IOException e) {
            problems.add(new Problem(document.key(), "", Json.describe(e), "one JSON object"));
        }
        return new Parsed(document, value, List.copyOf(problems));
    }

    /**
     * A parsed document.
     *
     * @param document the document
     * @param value its typed value, or {@code null} if there are problems
     * @param problems the problems of this document, without cross-references
     */
    private record Parsed(Document document, Object value, List<Problem> problems) {}

    /** Collects typed values. */
    private static final class PartsBuilder {
        private final ConfigurationParts parts = new ConfigurationParts(
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                null,
                FleetLimits.DEFAULT);
        private PresetId activePreset;
        private FleetLimits limits = FleetLimits.DEFAULT;

        /** Adds a typed value. */
        private void add(Object value) {
            if (value instanceof ClientAccount account) {
                parts.accounts().put(account.id(), account);
            } else if (value instanceof Service service) {
                parts.services().put(service.id(), service);
            } else if (value instanceof Model model) {
                parts.models().put(model.id(), model);
            } else if (value instanceof Group group) {
                parts.groups().put(group.id(), group);
            } else if (value instanceof Upstream upstream) {
                parts.upstreams().put(upstream.id(), upstream);
            } else if (value instanceof Preset preset) {
                parts.presets().put(preset.id(), preset);
            } else if (value instanceof PresetId id) {
                activePreset = id;
            } else if (value instanceof FleetLimits published) {
                limits = published;
            }
        }

        /** Returns the collected parts. */
        private ConfigurationParts build() {
            return new ConfigurationParts(
                    parts.accounts(),
                    parts.services(),
                    parts.models(),
                    parts.groups(),
                    parts.upstreams(),
                    parts.presets(),
                    activePreset,
                    limits);
        }
    }
}
