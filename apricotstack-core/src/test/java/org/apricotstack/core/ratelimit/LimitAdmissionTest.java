package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitAdmissionTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);

    private final LimitTable table = new LimitTable();
    private final List<Consumer<PermitGrant>> asked = new ArrayList<>();
    private final List<Boolean> passed = new ArrayList<>();
    private int wanted;
    private int charged;
    private long nowMillis = 10_000;

    private final LimitAdmission admission = new LimitAdmission(
            table,
            new PermitClient() {
                @Override
                public void ask(UpstreamId upstream, RateLimit limit, int permits, Consumer<PermitGrant> then) {
                    asked.add(then);
                    wanted = permits;
                }

                @Override
                public void charge(UpstreamId upstream, RateLimit limit, int requests) {
                    charged += requests;
                }
            },
            () -> nowMillis);

    private void name(double perSecond) {
        table.answerReceived(
                UPSTREAM, new AdvertisedLimit(AdvertisedLimit.Kind.PRESENT, perSecond), nowMillis - 1, nowMillis);
    }

    private void acquire(int requests) {
        for (int i = 0; i < requests; i++) {
            admission.acquire(UPSTREAM, passed::add);
        }
    }

    @Test
    void letsRequestsPassWithoutAQuestionWhileNoLimitIsNamed() {
        acquire(3);
        admission.charge(UPSTREAM);
        assertThat(passed).containsExactly(true, true, true);
        assertThat(asked).isEmpty();
        assertThat(charged).isZero();
    }

    @Test
    void asksOnceForRequestsThatComeTogetherAndLetsAsManyPassAsWereGranted() {
        name(1);
        acquire(3);
        assertThat(asked).hasSize(1);
        asked.get(0).accept(new PermitGrant(1, 700));
        assertThat(passed).containsExactly(true, false, false);
        assertThat(admission.opensMillis(UPSTREAM)).isEqualTo(700);
        acquire(1);
        assertThat(passed).endsWith(false);
        assertThat(asked).hasSize(1);
    }

    @Test
    void asksAgainOnceThatMayBeOfUse() {
        name(1);
        acquire(1);
        asked.get(0).accept(new PermitGrant(0, 700));
        nowMillis += 700;
        assertThat(admission.opensMillis(UPSTREAM)).isZero();
        acquire(1);
        assertThat(asked).hasSize(2);
    }

    @Test
    void asksAgainAtOnceWhenTheLimitIsRaised() {
        name(1);
        acquire(1);
        asked.get(0).accept(new PermitGrant(0, 5_000));
        nowMillis += 10;
        name(2);
        assertThat(admission.opensMillis(UPSTREAM)).isZero();
    }

    @Test
    void letsNothingPassWhileTheKeeperDoesNotAnswer() {
        name(1);
        acquire(2);
        asked.get(0).accept(null);
        assertThat(passed).containsExactly(false, false);
        assertThat(admission.opensMillis(UPSTREAM)).isPositive();
    }

    @Test
    void keepsPermitsThatWereNotUsedForAShortTimeOnly() {
        name(100);
        acquire(1);
        asked.get(0).accept(new PermitGrant(3, 0));
        nowMillis += 500;
        acquire(1);
        assertThat(asked).hasSize(1);
        nowMillis += 500;
        acquire(1);
        assertThat(asked).hasSize(2);
        assertThat(passed).containsExactly(true, true);
    }

    @Test
    void asksForAsManyPermitsAsItCanUseSoon() {
        name(100);
        for (int i = 0; i < 40; i++) {
            acquire(1);
            asked.get(asked.size() - 1).accept(new PermitGrant(1, 0));
            nowMillis += 25;
        }
        acquire(1);
        assertThat(wanted).isBetween(18, 21);
    }

    @Test
    void letsRequestsPassThatWaitWhenTheLimitEnds() {
        name(1);
        acquire(2);
        table.ended(UPSTREAM, nowMillis + 1);
        asked.get(0).accept(new PermitGrant(0, 200));
        assertThat(passed).containsExactly(true, true);
    }

    @Test
    void tellsOfRequestsThatCannotBeLeftOut() {
        name(1);
        admission.charge(UPSTREAM);
        assertThat(charged).isEqualTo(1);
    }
}
