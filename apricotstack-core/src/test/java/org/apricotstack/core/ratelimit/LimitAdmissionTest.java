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
    private final List<Consumer<PermitGrant>> requests = new ArrayList<>();
    private final List<Boolean> admitted = new ArrayList<>();
    private int permitsRequested;
    private int charged;
    private long nowMillis = 10_000;

    private final LimitAdmission admission = new LimitAdmission(
            table,
            new PermitClient() {
                @Override
                public void requestPermits(
                        UpstreamId upstream, RateLimit limit, int permits, Consumer<PermitGrant> then) {
                    requests.add(then);
                    permitsRequested = permits;
                }

                @Override
                public void charge(UpstreamId upstream, RateLimit limit, int requests) {
                    charged += requests;
                }
            },
            () -> nowMillis);

    private void advertise(double perSecond) {
        table.answerReceived(
                UPSTREAM, new AdvertisedLimit(AdvertisedLimit.Kind.STATED, perSecond), nowMillis - 1, nowMillis);
    }

    private void acquire(int requests) {
        for (int i = 0; i < requests; i++) {
            admission.acquire(UPSTREAM, admitted::add);
        }
    }

    @Test
    void admitsRequestsWithoutPermitsWhileNoLimitIsAdvertised() {
        acquire(3);
        admission.charge(UPSTREAM);
        assertThat(admitted).containsExactly(true, true, true);
        assertThat(requests).isEmpty();
        assertThat(charged).isZero();
    }

    @Test
    void requestsPermitsOnceForConcurrentRequestsAndAdmitsAsManyAsGranted() {
        advertise(1);
        acquire(3);
        assertThat(requests).hasSize(1);
        requests.get(0).accept(new PermitGrant(1, 700));
        assertThat(admitted).containsExactly(true, false, false);
        assertThat(admission.blockedMillis(UPSTREAM)).isEqualTo(700);
        acquire(1);
        assertThat(admitted).endsWith(false);
        assertThat(requests).hasSize(1);
    }

    @Test
    void requestsPermitsAgainAfterTheRetryTime() {
        advertise(1);
        acquire(1);
        requests.get(0).accept(new PermitGrant(0, 700));
        nowMillis += 700;
        assertThat(admission.blockedMillis(UPSTREAM)).isZero();
        acquire(1);
        assertThat(requests).hasSize(2);
    }

    @Test
    void requestsPermitsAgainAtOnceWhenTheLimitIsRaised() {
        advertise(1);
        acquire(1);
        requests.get(0).accept(new PermitGrant(0, 5_000));
        nowMillis += 10;
        advertise(2);
        assertThat(admission.blockedMillis(UPSTREAM)).isZero();
    }

    @Test
    void admitsNothingWhileTheIssuerDoesNotRespond() {
        advertise(1);
        acquire(2);
        requests.get(0).accept(null);
        assertThat(admitted).containsExactly(false, false);
        assertThat(admission.blockedMillis(UPSTREAM)).isPositive();
    }

    @Test
    void expiresUnusedPermitsAfterAShortTime() {
        advertise(100);
        acquire(1);
        requests.get(0).accept(new PermitGrant(3, 0));
        nowMillis += 500;
        acquire(1);
        assertThat(requests).hasSize(1);
        nowMillis += 500;
        acquire(1);
        assertThat(requests).hasSize(2);
        assertThat(admitted).containsExactly(true, true);
    }

    @Test
    void requestsAsManyPermitsAsItCanUseSoon() {
        advertise(100);
        for (int i = 0; i < 40; i++) {
            acquire(1);
            requests.get(requests.size() - 1).accept(new PermitGrant(1, 0));
            nowMillis += 25;
        }
        acquire(1);
        assertThat(permitsRequested).isBetween(18, 21);
    }

    @Test
    void admitsWaitingRequestsWhenTheLimitEnds() {
        advertise(1);
        acquire(2);
        table.limitEnded(UPSTREAM, nowMillis + 1);
        requests.get(0).accept(new PermitGrant(0, 200));
        assertThat(admitted).containsExactly(true, true);
    }

    @Test
    void reportsRequestsSentWithoutAPermit() {
        advertise(1);
        admission.charge(UPSTREAM);
        assertThat(charged).isEqualTo(1);
    }
}
