package org.apricotstack.adapters.json;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class JsonTest {

    private static final int MAX_NESTING = 32;

    private static String nested(int levels) {
        return "{\"x\":".repeat(levels) + "1" + "}".repeat(levels);
    }

    /** Trees are compared and copied recursively, so that a deeper one could exhaust the stack after it was read. */
    @Test
    void rejectsDocumentsThatAreNestedTooDeeply() throws JsonProcessingException {
        for (ObjectMapper mapper : List.of(Json.STRICT, Json.COMMENTED)) {
            assertThat(mapper.readTree(nested(MAX_NESTING)).isObject()).isTrue();
            assertThatExceptionOfType(StreamConstraintsException.class)
                    .isThrownBy(() -> mapper.readTree(nested(MAX_NESTING + 1)));
        }
    }
}
