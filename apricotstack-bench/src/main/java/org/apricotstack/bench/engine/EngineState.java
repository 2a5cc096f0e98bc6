package org.apricotstack.bench.engine;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;

/** Model, revision, role and adapters that a stand-in engine was ordered to load. */
final class EngineState {

    private final boolean refusesOldFencing;
    private String model = "";
    private String revision = "";
    private String role = "";
    private List<String> adapters = List.of();
    private long fencing;
    private final List<Long> accepted = new ArrayList<>();

    /** Creates the state of an engine without a model. */
    EngineState(boolean refusesOldFencing) {
        this.refusesOldFencing = refusesOldFencing;
    }

    /** Applies an order; refuses one with a lower fencing number than the last order, if fencing is enforced. */
    synchronized boolean order(JsonNode order) {
        long number = order.path("fencing").asLong();
        if (refusesOldFencing && number < fencing) {
            return false;
        }
        fencing = number;
        model = order.path("model").asText();
        revision = order.path("revision").asText();
        role = order.path("role").asText();
        adapters = new ArrayList<>();
        order.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
        accepted.add(number);
        return true;
    }

    /** Returns the state as JSON. */
    synchronized String write() {
        ObjectNode document = Json.STRICT
                .createObjectNode()
                .put("model", model)
                .put("revision", revision)
                .put("role", role)
                .put("fencing", fencing);
        adapters.forEach(document.putArray("adapters")::add);
        return Json.write(document);
    }

    /** Returns the revision. */
    synchronized String revision() {
        return revision;
    }

    /** Returns the fencing numbers of the accepted orders. */
    synchronized List<Long> accepted() {
        return List.copyOf(accepted);
    }
}
