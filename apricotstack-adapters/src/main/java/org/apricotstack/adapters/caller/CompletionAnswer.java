package org.apricotstack.adapters.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.stream.AttemptSignal;

/** Writes the answers to completion requests, in the form that clients of such APIs read. */
final class CompletionAnswer {

    /** The end of a stream. */
    static final String DONE = "data: [DONE]\n\n";

    /** A sign of life that clients pass over. */
    static final String HEARTBEAT = ": heartbeat\n\n";

    private final String id;
    private final String model;

    /** Creates a writer for one request. */
    CompletionAnswer(String id, String model) {
        this.id = id;
        this.model = model;
    }

    /** Writes a signal as server-sent events. */
    String event(AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Chunk chunk) {
            return data(document(new String(chunk.data(), StandardCharsets.UTF_8), null));
        }
        if (signal instanceof AttemptSignal.Completed completed) {
            return data(withUsage(document("", completed.finishReason()), completed)) + DONE;
        }
        return HEARTBEAT;
    }

    /** Writes a failure inside a stream; the stream then ends without its end mark. */
    static String failure(String problem) {
        return "event: error\ndata: " + problem + "\n\n";
    }

    /** Writes a whole answer as one document. */
    String whole(ByteArrayOutputStream text, AttemptSignal.Completed completed) {
        String joined = text.toString(StandardCharsets.UTF_8);
        return Json.write(withUsage(document(joined, completed.finishReason()), completed));
    }

    /** Frames a document as one event. */
    private static String data(ObjectNode document) {
        return "data: " + Json.write(document) + "\n\n";
    }

    /** Makes a document with one choice. */
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

    /** Adds the counts of tokens. */
    private static ObjectNode withUsage(ObjectNode document, AttemptSignal.Completed completed) {
        ObjectNode usage = document.putObject("usage")
                .put("prompt_tokens", completed.promptTokens())
                .put("completion_tokens", completed.total())
                .put("total_tokens", completed.promptTokens() + completed.total());
        usage.putObject("prompt_tokens_details").put("cached_tokens", completed.cachedTokens());
        return document;
    }
}
