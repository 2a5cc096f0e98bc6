package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.configuration.JsonConfigurationValidator;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.Validated;

/** A file with all documents of a set: one JSON object with a field for each document key. */
final class ConfigurationFile {

    private ConfigurationFile() {}

    /** Reads the documents of a file, indexed by key. */
    static Map<String, String> read(Path file) {
        try {
            JsonNode tree = Json.COMMENTED.readTree(Files.readString(file));
            if (!tree.isObject()) {
                throw new ApricotException(
                        ErrorCode.INVALID_CONFIGURATION, file + " must hold one object whose fields are documents.");
            }
            Map<String, String> documents = new TreeMap<>();
            tree.fields().forEachRemaining(field -> documents.put(field.getKey(), Json.write(field.getValue())));
            return documents;
        } catch (JsonProcessingException e) {
            throw new ApricotException(ErrorCode.INVALID_CONFIGURATION, file + ": " + Json.describe(e), e);
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot read " + file + "; check that it exists and is readable.", e);
        }
    }

    /** Reads and validates a configuration; throws an error that lists every problem. */
    static FleetConfiguration validated(Path file) {
        List<Document> documents = new ArrayList<>();
        read(file).forEach((key, body) -> documents.add(new Document(key, 1, body)));
        DocumentSet set = DocumentSet.EMPTY.with(new DocumentDelta(0, 1, true, documents, Map.of()));
        Validated<FleetConfiguration> validated = new JsonConfigurationValidator().validate(set);
        if (!validated.isValid()) {
            StringBuilder message = new StringBuilder("The configuration cannot be used; correct each line:");
            for (Problem problem : validated.problems()) {
                message.append('\n').append(file).append(": ").append(problem);
            }
            throw new ApricotException(ErrorCode.INVALID_CONFIGURATION, message.toString());
        }
        return validated.value();
    }
}
