package org.apricotstack.adapters.caller;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.adapters.json.OddDocument;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class CompletionScanTest {

    private static CompletionScan scan(String body) {
        return CompletionScan.of(body.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"model\":\"s\",\"prompt\":\"abcdefgh\"}|2|16|false",
                "{\"prompt\":\"abcde\",\"max_tokens\":7,\"model\":\"s\",\"stream\":true}|2|7|true",
                "{\"model\":\"s\",\"x\":{\"prompt\":\"no\"},\"prompt\":[1,22,333]}|3|16|false",
                "{\"model\" : \"s\" , \"prompt\" : \"a\\\"b\\\\\" , \"stream\" : null}|2|16|false"
            })
    void readsModelLengthsAndStreaming(String body, long promptTokens, long maxTokens, boolean stream) {
        CompletionScan scan = scan(body);
        assertThat(scan.model()).isEqualTo("s");
        assertThat(scan.promptTokens()).isEqualTo(promptTokens);
        assertThat(scan.maxTokens()).isEqualTo(maxTokens);
        assertThat(scan.stream()).isEqualTo(stream);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"model\":\"s\"}",
                "{\"prompt\":\"x\"}",
                "{\"model\":\"s\",\"prompt\":\"\"}",
                "{\"model\":\"s\",\"prompt\":[]}",
                "{\"model\":\"s\",\"prompt\":[1,\"x\"]}",
                "{\"model\":\"s\",\"prompt\":5}",
                "{\"model\":7,\"prompt\":\"x\"}",
                "{\"model\":\"s\",\"prompt\":\"x\",\"max_tokens\":0}",
                "{\"model\":\"s\",\"prompt\":\"x\",\"max_tokens\":1.5}",
                "{\"model\":\"s\",\"prompt\":\"x\"} x"
            })
    void refusesInvalidCompletionRequests(String body) {
        assertThatExceptionOfType(RefusedException.class)
                .isThrownBy(() -> scan(body))
                .satisfies(e -> assertThat(e.refusal().reason()).isEqualTo(RefusalReason.INVALID_REQUEST));
    }

    @Test
    void givesEqualFingerprintsToEqualPrefixesOnly() {
        String block = "x".repeat(2_048);
        CompletionScan one = scan("{\"model\":\"s\",\"prompt\":\"" + block + block + "tail\"}");
        CompletionScan two = scan("{\"max_tokens\":3,\"model\":\"s\",\"prompt\":\"" + block + "y" + block + "\"}");
        assertThat(one.fingerprints()).hasSize(2);
        assertThat(two.fingerprints()).hasSize(2);
        assertThat(two.fingerprints().get(0)).isEqualTo(one.fingerprints().get(0));
        assertThat(two.fingerprints().get(1)).isNotEqualTo(one.fingerprints().get(1));
    }

    /** Any bytes are either scanned or refused. */
    @Property(tries = 500, seed = "7")
    void failsOnlyWithTheTypedRefusal(@ForAll byte[] noise) {
        byte[] body = noise;
        try {
            CompletionScan.of(body);
        } catch (RefusedException e) {
            assertThat(e.refusal().reason()).isEqualTo(RefusalReason.INVALID_REQUEST);
        }
    }

    @ParameterizedTest
    @EnumSource
    void scansBodiesWithoutUntypedErrors(OddDocument odd) throws InterruptedException {
        odd.readBy(CompletionScanTest::scan);
        odd.readBy(text -> scan("{\"model\":\"s\",\"prompt\":" + text + ",\"max_tokens\":" + text + "}"));
    }
}
