package org.apricotstack.core.replication;

import java.util.List;
import java.util.Map;

import org.apricotstack.core.configuration.Problem;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentReplicaTest {

    private final DocumentReplica<String> replica = new DocumentReplica<>(documents -> {
        String body = documents.documents().get("k").body();
        return body.equals("bad")
                ? new Validated<>(null, List.of(new Problem("k", "", "bad", "good")))
                : new Validated<>(body, List.of());
    });

    private static DocumentDelta delta(long from, long to, String body) {
        return new DocumentDelta(from, to, false, List.of(new Document("k", to, body)), Map.of());
    }

    @Test
    void adoptsOnlyNewerCompleteAndValidVersions() {
        assertThat(replica.offer(delta(0, 3, "a"))).isEqualTo(ApplyResult.ADOPTED);
        assertThat(replica.offer(delta(0, 2, "old"))).isEqualTo(ApplyResult.STALE);
        assertThat(replica.offer(delta(0, 3, "same"))).isEqualTo(ApplyResult.STALE);
        assertThat(replica.offer(delta(4, 5, "gap"))).isEqualTo(ApplyResult.GAP);
        assertThat(replica.offer(delta(3, 4, "bad"))).isEqualTo(ApplyResult.REJECTED);
        assertThat(replica.value()).isEqualTo("a");
        assertThat(replica.rejection().version()).isEqualTo(4);
        assertThat(replica.offer(delta(3, 5, "b"))).isEqualTo(ApplyResult.ADOPTED);
        assertThat(replica.value()).isEqualTo("b");
    }
}
