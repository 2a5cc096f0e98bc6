package org.apricotstack.adapters.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.apricotstack.adapters.json.OddDocument;
import org.apricotstack.adapters.settings.SettingsReader;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.replication.ApplyResult;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentReplica;
import org.apricotstack.core.replication.DocumentSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the readers of foreign texts with the stack of the deployed process. */
class OddDocumentsTest {

    private static DocumentDelta delta(long version, String key, String body) {
        return new DocumentDelta(version - 1, version, false, List.of(new Document(key, version, body)), Map.of());
    }

    @ParameterizedTest
    @EnumSource
    void readsDeltasWithoutUntypedErrors(OddDocument odd) throws InterruptedException {
        odd.readBy(text -> DocumentDeltas.read(text.getBytes(StandardCharsets.ISO_8859_1)));
        odd.readBy(text -> DocumentDeltas.read(
                ("{\"from\":0,\"to\":1,\"full\":true,\"changed\":[{\"key\":\"models/m\",\"version\":1,\"body\":" + text
                                + "}],\"removed\":[]}")
                        .getBytes(StandardCharsets.UTF_8)));
    }

    @ParameterizedTest
    @EnumSource
    void readsSettingsWithoutUntypedErrors(OddDocument odd) throws InterruptedException {
        odd.readBy(text -> SettingsReader.read("settings", text));
    }

    @ParameterizedTest
    @EnumSource
    void readsConfigurationsWithoutUntypedErrors(OddDocument odd) throws InterruptedException {
        for (String kind : List.of("accounts", "services", "models", "groups", "upstreams", "presets", "fleet")) {
            odd.readBy(text -> {
                DocumentSet set = DocumentSet.EMPTY.with(delta(1, kind + "/preset", text));
                assertThat(new JsonConfigurationValidator().validate(set).isValid())
                        .isFalse();
            });
        }
    }

    /** One odd document rejects its version; the version before stays in force and a sound one after it is adopted. */
    @ParameterizedTest
    @EnumSource
    void keepsTheRosterInForceDespiteAnOddVersion(OddDocument odd) throws InterruptedException {
        DocumentReplica<Roster> replica = new DocumentReplica<>(new JsonRosterValidator());
        assertThat(replica.offer(delta(1, "upstreams/a", "{\"leaving\":true}"))).isEqualTo(ApplyResult.ADOPTED);
        odd.readBy(
                text -> assertThat(replica.offer(delta(2, "upstreams/b", text))).isEqualTo(ApplyResult.REJECTED));
        assertThat(replica.version()).isEqualTo(1);
        assertThat(replica.value().leavingUpstreams()).hasSize(1);
        DocumentDelta sound =
                new DocumentDelta(1, 3, false, List.of(new Document("upstreams/b", 3, "{\"leaving\":true}")), Map.of());
        assertThat(replica.offer(sound)).isEqualTo(ApplyResult.ADOPTED);
    }
}
