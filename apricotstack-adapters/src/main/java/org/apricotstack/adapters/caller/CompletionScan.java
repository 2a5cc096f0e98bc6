package org.apricotstack.adapters.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.hash.Hashing;
import org.apricotstack.core.dispatch.PrefixIndex;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;

/**
 * The fields of a completion request that routers need. The body is scanned once and not converted to objects: a prompt
 * of a million tokens is skipped, its length taken from its position in the bytes, and it is forwarded unchanged.
 *
 * @param model the name of the requested service
 * @param promptTokens estimated length of the prompt, in tokens
 * @param maxTokens maximum length of the answer, in tokens
 * @param stream whether the answer is to be streamed
 * @param fingerprints fingerprints of the leading blocks of the prompt, shortest prefix first
 */
record CompletionScan(String model, long promptTokens, long maxTokens, boolean stream, List<Long> fingerprints) {

    /** Estimated bytes of text per token; engines report the true count. */
    static final int BYTES_PER_TOKEN = 4;

    /** Maximum number of blocks with a fingerprint; longer prefixes no longer change the choice of a group. */
    private static final int MAX_FINGERPRINTS = 256;

    /** Maximum length of the answer if the request states none, in tokens. */
    private static final long DEFAULT_MAX_TOKENS = 16;

    private static final int BLOCK_BYTES = PrefixIndex.TOKENS_PER_FINGERPRINT * BYTES_PER_TOKEN;
    private static final JsonFactory FACTORY = new JsonFactory();

    /**
     * Scans a body.
     *
     * @param body the body
     * @return the fields
     * @throws org.apricotstack.core.failure.RefusedException if it is not a completion request
     */
    static CompletionScan of(byte[] body) {
        try (JsonParser parser = FACTORY.createParser(body)) {
            return new Scanner(parser, body).scan();
        } catch (IOException e) {
            throw invalid("The body is no JSON.");
        }
    }

    /** Creates the refusal of an invalid body. */
    private static RuntimeException invalid(String detail) {
        return Refusal.notRun(RefusalReason.INVALID_REQUEST, detail).toException();
    }

    /** The state of one scan. */
    private static final class Scanner {
        private final JsonParser parser;
        private final byte[] body;
        private String model;
        private long promptStart = -1;
        private long promptEnd;
        private long promptTokens = -1;
        private long maxTokens = DEFAULT_MAX_TOKENS;
        private boolean stream;

        /** Creates a scan. */
        private Scanner(JsonParser parser, byte[] body) {
            this.parser = parser;
            this.body = body;
        }

        /** Scans the fields of the object. */
        private CompletionScan scan() throws IOException {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw invalid("The body must be one JSON object.");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                field(parser.currentName());
            }
            if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
                throw invalid("The body must be one JSON object and nothing after it.");
            }
            if (model == null) {
                throw invalid("The field \"model\" must name a service.");
            }
            if (promptTokens < 1) {
                throw invalid("The field \"prompt\" must be a text or a list of token numbers, not empty.");
            }
            return new CompletionScan(model, promptTokens, maxTokens, stream, fingerprints());
        }

        /** Reads one field. */
        private void field(String name) throws IOException {
            JsonToken token = parser.nextToken();
            switch (name) {
                case "model" -> model = token == JsonToken.VALUE_STRING ? parser.getText() : null;
                case "prompt" -> prompt(token);
                case "max_tokens" -> maxTokens = answerLength(token);
                case "stream" -> stream = token == JsonToken.VALUE_TRUE;
                default -> parser.skipChildren();
            }
        }

        /** Reads the maximum length of the answer. */
        private long answerLength(JsonToken token) throws IOException {
            if (token != JsonToken.VALUE_NUMBER_INT || parser.getLongValue() < 1) {
                throw invalid("The field \"max_tokens\" must be a whole number of at least 1.");
            }
            return parser.getLongValue();
        }

        /** Computes the length of the prompt without reading it into memory. */
        private void prompt(JsonToken token) throws IOException {
            promptStart = parser.currentTokenLocation().getByteOffset() + 1;
            if (token == JsonToken.VALUE_STRING) {
                parser.finishToken();
                promptEnd = parser.currentLocation().getByteOffset() - 1;
                promptTokens = (promptEnd - promptStart + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
            } else if (token == JsonToken.START_ARRAY) {
                promptTokens = 0;
                while (parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                    promptTokens++;
                }
                promptEnd = parser.currentLocation().getByteOffset() - 1;
                if (parser.currentToken() != JsonToken.END_ARRAY) {
                    throw invalid("The field \"prompt\" must be a text or a list of token numbers.");
                }
            } else {
                throw invalid("The field \"prompt\" must be a text or a list of token numbers.");
            }
        }

        /** Computes the fingerprints of the complete leading blocks. */
        private List<Long> fingerprints() {
            List<Long> result = new ArrayList<>();
            long previous = 0;
            for (long at = promptStart; at + BLOCK_BYTES <= promptEnd; at += BLOCK_BYTES) {
                if (result.size() == MAX_FINGERPRINTS) {
                    break;
                }
                previous = Hashing.murmur3_128()
                        .newHasher()
                        .putLong(previous)
                        .putBytes(body, (int) at, BLOCK_BYTES)
                        .hash()
                        .asLong();
                result.add(previous);
            }
            return result;
        }
    }
}
