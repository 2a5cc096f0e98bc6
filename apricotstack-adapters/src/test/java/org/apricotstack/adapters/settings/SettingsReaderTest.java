package org.apricotstack.adapters.settings;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SettingsReaderTest {

    private static final String VALID =
            """
            // A comment.
            {
              "host": "r1", "dataCentre": "dc", /* another */
              "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2", "adminAddress": "[::1]:3",
              "platformAddresses": ["127.0.0.1:4"],
              "adminKeyDigest": "DIGEST",
            }
            """
                    .replace("DIGEST", KeyDigests.of("k"));

    @Test
    void acceptsCommentsAndAppliesDefaults() {
        RouterSettings settings = SettingsReader.read("s", VALID);
        assertThat(settings.host().value()).isEqualTo("r1");
        assertThat(settings.timings()).isEqualTo(RouterSettings.Timings.DEFAULT);
        assertThat(settings.peerTls()).isNull();
        assertThat(settings.adminAddress().toString()).isEqualTo("[::1]:3");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"host\": \"r1\"|\"host\": \"a b\"|host: found a b",
                "\"host\": \"r1\"|\"hosts\": \"r1\"|hosts: found an unknown field; allowed: \"host\"",
                "\"host\": \"r1\"|\"seedPeers\": [\"x\"]|seedPeers[0]: found x",
                "127.0.0.1:1\"|example.com:1\"|callerAddress: found example.com:1",
                "127.0.0.1:1\"|127.0.0.1:70000\"|callerAddress: found 127.0.0.1:70000",
                "[\"127.0.0.1:4\"]|[]|platformAddresses: found no usable address",
                "\"dataCentre\": \"dc\"|\"bodyMemoryBytes\": 1|bodyMemoryBytes: found 1; allowed: a whole number from",
                "\"dataCentre\": \"dc\"|\"timings\": {\"probMillis\": 5}|timings.probMillis: found an unknown field",
                "\"dataCentre\": \"dc\"|\"peerTls\": {}|peerTls.keyFile: found nothing"
            })
    void reportsTheFoundAndTheAllowedValue(String valid, String broken, String problem) {
        assertThatExceptionOfType(ApricotException.class)
                .isThrownBy(() -> SettingsReader.read("s", VALID.replace(valid, broken)))
                .withMessageContaining(problem)
                .satisfies(e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS));
    }

    @Test
    void reportsAllProblemsAtOnce() {
        assertThatExceptionOfType(ApricotException.class)
                .isThrownBy(() -> SettingsReader.read("s", "{\"host\": 1, \"x\": 2}"))
                .withMessageContaining("host: found 1")
                .withMessageContaining("dataCentre: found nothing")
                .withMessageContaining("x: found an unknown field");
    }

    /** Any text yields either settings or the INVALID_SETTINGS error. */
    @Property(tries = 400, seed = "7")
    void throwsOnlyInvalidSettingsForAnyText(@ForAll String noise, @ForAll int place) {
        int at = Math.floorMod(place, VALID.length());
        String text = VALID.substring(0, at) + noise + VALID.substring(at);
        try {
            SettingsReader.read("s", text);
        } catch (ApricotException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        }
    }
}
