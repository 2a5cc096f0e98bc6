package org.apricotstack.adapters.caller;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ProblemDocumentTest {

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void containsCodeOutcomeRemedyAndRetryTime(RefusalReason reason) throws IOException {
        JsonNode document = Json.STRICT.readTree(ProblemDocument.write(Refusal.notRun(reason, 1_500), "r1"));
        assertThat(document.path("code").asText()).isEqualTo(reason.code());
        assertThat(document.path("outcome").asText()).isEqualTo("not_run");
        assertThat(document.path("remedy").asText()).endsWith(".");
        assertThat(document.path("retryAfterMillis").asLong()).isEqualTo(1_500);
        assertThat(document.path("request").asText()).isEqualTo("r1");
        assertThat(ProblemDocument.status(reason)).isBetween(400, 599);
        assertThat(ProblemDocument.retryAfterSeconds(Refusal.notRun(reason, 1_500)))
                .isEqualTo(2);
    }
}
