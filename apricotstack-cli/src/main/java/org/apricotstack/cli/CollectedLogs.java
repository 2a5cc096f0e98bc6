package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/** Parses the log lines of routers from collected log files. */
final class CollectedLogs {

    private CollectedLogs() {}

    /**
     * Reads the log lines of all routers.
     *
     * @param files collected logs; text before the JSON object of a line, and lines of other programs, are skipped
     * @return the lines in the order of the files
     * @throws ApricotException if a file cannot be read
     */
    static List<JsonNode> read(List<Path> files) {
        List<JsonNode> all = new ArrayList<>();
        for (Path file : files) {
            try (Stream<String> texts = Files.lines(file)) {
                texts.forEach(text -> add(all, text));
            } catch (IOException e) {
                throw new ApricotException(
                        ErrorCode.ENVIRONMENT, "Cannot read " + file + "; pass files with collected logs.", e);
            }
        }
        return all;
    }

    /** Adds a line if it contains a JSON object with an event. */
    private static void add(List<JsonNode> lines, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return;
        }
        try {
            JsonNode line = Json.STRICT.readTree(text.substring(start));
            if (line.hasNonNull("event")) {
                lines.add(line);
            }
        } catch (JsonProcessingException e) {
            // Collected logs also contain lines of other programs.
            return;
        }
    }
}
