package org.apricotstack.core.upstream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.Tuple.Tuple2;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RevisionsTest {

    private static final long MAX_IN_FIRST_HISTORY = (1L << 62) - 1;
    private static final long MAX_AFTER_FEW_RESTORES = (1L << 51) - 1;
    private static final long MAX_IN_EACH_HISTORY = (1L << 40) - 1;
    private static final long FEW_RESTORES = (1L << 10) - 1;

    /** Returns the largest revision that can be encoded. */
    private static long max(long history) {
        if (history == 0) {
            return MAX_IN_FIRST_HISTORY;
        }
        return history <= FEW_RESTORES ? MAX_AFTER_FEW_RESTORES : MAX_IN_EACH_HISTORY;
    }

    @Provide
    Arbitrary<Tuple2<Long, Long>> revisions() {
        Arbitrary<Long> histories = Arbitraries.oneOf(
                Arbitraries.longs().between(0, 2),
                Arbitraries.longs().between(FEW_RESTORES - 1, FEW_RESTORES + 1),
                Arbitraries.longs().between(0, Revisions.MAX_HISTORY));
        return histories.flatMap(
                history -> Arbitraries.longs().between(0, max(history)).map(revision -> Tuple.of(history, revision)));
    }

    /** Guards against revisions that are read as other ones, or in another order. */
    @Property(tries = 2_000, seed = "11")
    void keepsHistoryRevisionAndOrder(
            @ForAll("revisions") Tuple2<Long, Long> one, @ForAll("revisions") Tuple2<Long, Long> other) {
        long encoded = Revisions.of(one.get1(), one.get2());
        assertThat(encoded).isNotNegative();
        assertThat(Revisions.history(encoded)).isEqualTo(one.get1());
        assertThat(Revisions.inHistory(encoded)).isEqualTo(one.get2());
        assertThat(Revisions.fromMessage(Revisions.toMessage(encoded))).isEqualTo(encoded);
        int byHistory = Long.compare(one.get1(), other.get1());
        int expected = byHistory != 0 ? byHistory : Long.compare(one.get2(), other.get2());
        assertThat(Long.compare(encoded, Revisions.of(other.get1(), other.get2())))
                .isEqualTo(expected);
    }

    @Property(tries = 500, seed = "12")
    void sendsTheSameBytesAsBeforeForRevisionsThatWereAcceptedBefore(@ForAll("revisions") Tuple2<Long, Long> revision) {
        long inHistory = revision.get2() & MAX_IN_EACH_HISTORY;
        assertThat(Revisions.toMessage(Revisions.of(revision.get1(), inHistory)))
                .isEqualTo(revision.get1() << 40 | inHistory);
    }

    @Test
    void encodesTheRevisionsOfTheFirstHistoryAsTheyAre() {
        for (long revision : new long[] {0, 1, 1L << 40, 1L << 53, MAX_IN_FIRST_HISTORY}) {
            assertThat(Revisions.of(0, revision)).isEqualTo(revision);
            assertThat(Revisions.text(revision)).isEqualTo(Long.toString(revision));
        }
    }
}
