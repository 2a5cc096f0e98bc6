package org.apricotstack.adapters.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.Validated;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class JsonConfigurationValidatorTest {

    private static final Map<String, String> VALID = Map.of(
            "accounts/a",
            "{\"keyDigests\":[\"" + KeyDigests.of("k") + "\"],\"services\":[\"s\"],\"tokensPerSecond\":1,"
                    + "\"burstTokens\":1,\"maxConcurrent\":1}",
            "services/s",
            "{\"kind\":\"completion\",\"target\":\"m\",\"priority\":0,\"repeatable\":true,"
                    + "\"timeLimitMillis\":1,\"maxTimeLimitMillis\":2}",
            "models/m",
            "{\"revision\":\"r\"}",
            "groups/g",
            "{\"dataCentre\":\"dc\",\"kind\":\"completion\",\"target\":\"m\"}",
            "upstreams/u",
            "{\"group\":\"g\",\"address\":\"127.0.0.1:1\",\"memoryTokens\":9,\"maxStreams\":1}",
            "presets/p",
            "{\"slowdownWeight\":0.5,\"shortShare\":0.1}",
            "fleet/preset",
            "{\"preset\":\"p\"}");

    private static Validated<FleetConfiguration> validate(Map<String, String> bodies) {
        List<Document> documents = new ArrayList<>();
        bodies.forEach((key, body) -> documents.add(new Document(key, 1, body)));
        DocumentSet set = DocumentSet.EMPTY.with(new DocumentDelta(0, 1, true, documents, Map.of()));
        return new JsonConfigurationValidator().validate(set);
    }

    @Test
    void acceptsAValidConfiguration() {
        Validated<FleetConfiguration> validated = validate(VALID);
        assertThat(validated.problems()).isEmpty();
        assertThat(validated.value().accountByKeyDigest(KeyDigests.of("k")).id().value())
                .isEqualTo("a");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "fleet/preset|{\"preset\":\"q\"}|fleet/preset: preset: found q",
                "services/s|{}|services/s: kind: found nothing",
                "models/m|[]|models/m: (whole document): found a list",
                "models/m|{|models/m: (whole document): found no JSON",
                "models/x y|{}|a key of another form",
                "other/x|{}|a key of another form",
                "groups/g|{\"dataCentre\":\"dc\",\"kind\":\"completion\",\"target\":\"n\"}|groups/g: target: found n",
                "upstreams/u|{\"group\":\"h\",\"address\":\"127.0.0.1:1\",\"maxStreams\":1}|u: group: found h",
                "upstreams/u|{\"group\":\"g\",\"address\":\"127.0.0.1:1\",\"maxStreams\":1}|memoryTokens: found 0",
                "fleet/limits|{\"shortTokens\":5,\"longTokens\":5}|fleet/limits: shortTokens: found 5",
                "presets/p|{\"slowdownWeight\":2,\"shortShare\":0}|slowdownWeight: found 2"
            })
    void rejectsTheWholeVersionForASingleProblem(String key, String body, String problem) {
        Map<String, String> bodies = new TreeMap<>(VALID);
        bodies.put(key, body);
        Validated<FleetConfiguration> validated = validate(bodies);
        assertThat(validated.isValid()).isFalse();
        assertThat(validated.problems()).anyMatch(p -> p.toString().contains(problem));
    }

    @Test
    void rejectsAKeyThatBelongsToTwoAccounts() {
        Map<String, String> bodies = new TreeMap<>(VALID);
        bodies.put("accounts/b", VALID.get("accounts/a"));
        assertThat(validate(bodies).problems()).hasSize(1);
    }

    /** Any document yields either a configuration or a list of problems, and no other error. */
    @Property(tries = 300, seed = "7")
    void returnsAConfigurationOrProblemsForAnyDocument(@ForAll String key, @ForAll String body) {
        Map<String, String> bodies = new TreeMap<>(VALID);
        bodies.put(key, body);
        Validated<FleetConfiguration> validated = validate(bodies);
        assertThat(validated.isValid()).isEqualTo(validated.value() != null);
    }
}
