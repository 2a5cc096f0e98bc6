package org.apricotstack.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentSetTest {

    private static final int KEYS = 6;

    /** Generates successive random versions and returns all of them. */
    private static List<DocumentSet> history(Random random, int versions) {
        List<DocumentSet> history = new ArrayList<>(List.of(DocumentSet.EMPTY));
        for (int i = 0; i < versions; i++) {
            DocumentSet last = history.get(history.size() - 1);
            long version = last.version() + 1;
            String key = "k" + random.nextInt(KEYS);
            boolean remove = random.nextInt(3) == 0;
            List<Document> changed = remove ? List.of() : List.of(new Document(key, version, "v" + version));
            Map<String, Long> removed = remove ? Map.of(key, version) : Map.of();
            history.add(last.with(new DocumentDelta(last.version(), version, false, changed, removed)));
        }
        return history;
    }

    /** Whichever deltas a replica receives, it holds the same documents at the same version. */
    @Property(tries = 500, seed = "42")
    void documentsDoNotDependOnTheSequenceOfDeltas(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        Random random = new Random(seed);
        List<DocumentSet> history = history(random, 40);
        DocumentSet replica = DocumentSet.EMPTY;
        while (replica.version() < 40) {
            DocumentSet source =
                    history.get((int) replica.version() + 1 + random.nextInt(40 - (int) replica.version()));
            long since = random.nextInt((int) replica.version() + 1);
            replica = replica.with(source.since(since));
            assertThat(replica.documents())
                    .isEqualTo(history.get((int) replica.version()).documents());
        }
    }

    @Test
    void returnsTheCompleteSetAfterRemovalsWereDropped() {
        DocumentSet set = DocumentSet.EMPTY;
        for (long version = 1; version <= 4_000; version++) {
            boolean even = version % 2 == 0;
            String key = "k" + (version + 1) / 2;
            set = set.with(new DocumentDelta(
                    version - 1,
                    version,
                    false,
                    even ? List.of() : List.of(new Document(key, version, "")),
                    even ? Map.of(key, version) : Map.of()));
        }
        assertThat(set.since(10).full()).isTrue();
        assertThat(set.since(3_999).full()).isFalse();
    }
}
