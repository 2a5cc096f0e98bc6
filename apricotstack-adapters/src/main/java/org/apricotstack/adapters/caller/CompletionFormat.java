package org.apricotstack.adapters.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.stream.AttemptSignal;

/** Formats the responses to completion requests as clients of such APIs expect them. */
final class CompletionFormat {

    /** The last event of a complete stream. */
    static final String DONE = "data: [DONE]\n\n";

    /** A heartbeat; clients ignore it, as it is a comment. */
    static final String HEARTBEAT = ": heartbeat\n\n";

    private final String id;
    private final String model;

    /** Creates the format of one response. */
    CompletionFormat(String id, String model) {
        this.id = id;
        this.model = model;
    }

    /** Formats a signal as server-sent events. */
    String event(AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Chunk chunk) {
            return data(document(new String(chunk.data(), StandardCharsets.UTF_8), null));
        }
        if (signal instanceof AttemptSignal.Completed completed) {
            return data(withUsage(document("", completed.finishReason()), completed)) + DONE;
        }
        return HEARTBEAT;
    }

    /** Formats a failure within a stream, which then ends without the {@code [DONE]} event. */
    static String failure(String problem) {
        return "event: error\ndata: " + problem + "\n\n";
    }

    /** Formats a whole answer as one document. */
    String whole(ByteArrayOutputStream text, AttemptSignal.Completed completed) {
        String joined = text.toString(StandardCharsets.UTF_8);
        return Json.write(withUsage(document(joined, completed.finishReason()), completed));
    }

    /** Formats a document as one event. */
    private static String data(ObjectNode document) {
        return "data: " + Json.write(document) + "\n\n";
    }

    /** Creates a document with one choice. */
    private ObjectNode document(String text, String finishReason) {
        ObjectNode document = Json.STRICT
                .createObjectNode()
                .put("id", id)
                .put("object", "text_completion")
                .put("model", model);
        document.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", finishReason);
        return document;
    }

    /** Adds the token counts. */
    private static ObjectNode withUsage(ObjectNode document, AttemptSignal.Completed completed) {
        ObjectNode usage = document.putObject("usage")
                .put("prompt_tokens", completed.promptTokens())
                .put("completion_tokens", completed.total())
                .put("total_tokens", completed.promptTokens() + completed.total());
        usage.putObject("prompt_tokens_details").put("cached_tokens", completed.cachedTokens());
        return document;
    }
}
