package org.apricotstack.adapters.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;

/** The JSON form in which the platform sends deltas. */
public final class DocumentDeltas {

    private DocumentDeltas() {}

    /**
     * Writes a delta.
     *
     * @param delta the delta
     * @return its JSON form
     */
    public static String write(DocumentDelta delta) {
        ObjectNode tree = Json.STRICT.createObjectNode();
        tree.put("from", delta.from()).put("to", delta.to()).put("full", delta.full());
        ArrayNode changed = tree.putArray("changed");
        for (Document document : delta.changed()) {
            changed.addObject()
                    .put("key", document.key())
                    .put("version", document.version())
                    .put("body", document.body());
        }
        ArrayNode removed = tree.putArray("removed");
        delta.removed()
                .forEach((key, version) -> removed.addObject().put("key", key).put("version", version));
        return Json.write(tree);
    }

    /**
     * Reads a delta.
     *
     * @param text its JSON form
     * @return the delta
     * @throws ApricotException with {@link ErrorCode#PLATFORM_PROTOCOL} if the text is not a delta
     */
    public static DocumentDelta read(byte[] text) {
        try {
            JsonNode tree = Json.STRICT.readTree(text);
            List<Document> changed = new ArrayList<>();
            for (JsonNode node : tree.required("changed")) {
                changed.add(new Document(
                        node.required("key").asText(),
                        node.required("version").asLong(),
                        node.required("body").asText()));
            }
            Map<String, Long> removed = new TreeMap<>();
            for (JsonNode node : tree.required("removed")) {
                removed.put(
                        node.required("key").asText(), node.required("version").asLong());
            }
            return new DocumentDelta(
                    tree.required("from").asLong(),
                    tree.required("to").asLong(),
                    tree.required("full").asBoolean(),
                    changed,
                    removed);
        } catch (IOException | IllegalArgumentException e) {
            throw new ApricotException(
                    ErrorCode.PLATFORM_PROTOCOL,
                    "The response of the platform is not a delta of documents; check its address and version.",
                    e);
        }
    }
}
