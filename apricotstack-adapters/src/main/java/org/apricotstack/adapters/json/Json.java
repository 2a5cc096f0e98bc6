package org.apricotstack.adapters.json;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** The JSON mappers that all adapters use. */
public final class Json {

    /** Maximum nesting of a document, several times that of any document of the product. */
    static final int MAX_NESTING = 32;

    /** Reads and writes strict JSON. */
    public static final ObjectMapper STRICT = JsonMapper.builder(boundedFactory())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Reads JSON with comments and trailing commas, for files that operators write. */
    public static final ObjectMapper COMMENTED = JsonMapper.builder(boundedFactory())
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(JsonParser.Feature.INCLUDE_SOURCE_IN_LOCATION)
            .build();

    private Json() {}

    /** Creates a factory that bounds the nesting, as comparing and copying a tree takes stack for each level. */
    private static JsonFactory boundedFactory() {
        StreamReadConstraints constraints =
                StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build();
        return JsonFactory.builder().streamReadConstraints(constraints).build();
    }

    /**
     * Writes a tree as one line.
     *
     * @param tree the tree
     * @return the text
     */
    public static String write(JsonNode tree) {
        return tree.toString();
    }

    /**
     * Describes where and why a text is not valid JSON, without quoting the text.
     *
     * @param error the parse error
     * @return a short description
     */
    public static String describe(IOException error) {
        if (error instanceof JsonProcessingException parsing && parsing.getLocation() != null) {
            return "no JSON at line " + parsing.getLocation().getLineNr() + ", column "
                    + parsing.getLocation().getColumnNr() + ": " + parsing.getOriginalMessage();
        }
        return "text that cannot be read";
    }
}
