package org.apricotstack.adapters.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;

/**
 * Decodes the lines of an engine's event stream.
 *
 * <p>Each document states the attempt, the offset of its text in tokens and the number of tokens; the last one has the
 * usage. A line without a document counts as a heartbeat.
 */
final class EngineEvents {

    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final AttemptId attempt;

    /** Creates a decoder for one attempt. */
    EngineEvents(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Decodes one line. */
    AttemptEvent decode(String line) {
        if (!line.startsWith(DATA) || line.startsWith(DONE, DATA.length())) {
            return new AttemptEvent(attempt, new AttemptSignal.Heartbeat());
        }
        try {
            JsonNode document = Json.STRICT.readTree(line.substring(DATA.length()));
            AttemptId named = AttemptId.parse(document.path("id").asText());
            return new AttemptEvent(named, signal(document));
        } catch (IOException e) {
            throw Refusal.unknown(RefusalReason.ANSWER_CUT).toException();
        }
    }

    /** Returns the signal that a document carries. */
    private static AttemptSignal signal(JsonNode document) {
        JsonNode choice = document.path("choices").path(0);
        JsonNode usage = document.get("usage");
        if (usage != null) {
            return new AttemptSignal.Completed(
                    usage.path("completion_tokens").asLong(-1),
                    usage.path("prompt_tokens").asLong(),
                    usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
                    choice.path("finish_reason").asText("stop"));
        }
        return new AttemptSignal.Chunk(
                document.path("offset").asLong(-1),
                document.path("count").asLong(),
                choice.path("text").asText().getBytes(StandardCharsets.UTF_8));
    }
}
