package org.apricotstack.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.time.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LimitLeaseIssuerTest {

    private static final ClientAccountId ACCOUNT = new ClientAccountId("a");
    private static final int ROUTERS = 6;

    private final TestClock clock = new TestClock();

    /**
     * Guards against a client account that exceeds its limit across the whole fleet.
     *
     * <p>Routers request leases at random times with random demand, some replies are lost, and some routers are
     * disconnected from the issuer, which then counts fewer routers.
     *
     * <p>The shares in use must not sum to more than 1 at any time later than two lease times after a partition starts
     * or heals.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void neverLeasesMoreThanTheLimit(long seed) {
        Random random = new Random(seed);
        LimitLeaseIssuer issuer = new LimitLeaseIssuer(clock);
        List<LeasedLimitShares> holders = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            holders.add(new LeasedLimitShares(() -> ROUTERS, clock));
        }
        int disconnected = 0;
        long disconnectedAtMillis = 0;
        for (int step = 0; step < 3_000; step++) {
            if (step % 700 == 699) {
                disconnected = random.nextInt(ROUTERS);
                disconnectedAtMillis = clock.millis();
            }
            int router = random.nextInt(ROUTERS);
            LeasedLimitShares holder = holders.get(router);
            long requestedAtMillis = holder.leaseRequested(ACCOUNT);
            clock.advanceMillis(random.nextInt(30));
            boolean delivered = router >= disconnected && random.nextInt(10) > 0;
            if (delivered) {
                // The issuer detects the partition before a disconnected router falls back to its equal share.
                double visible = (double) (ROUTERS - disconnected) / ROUTERS;
                holder.leaseGranted(
                        ACCOUNT,
                        issuer.lease(ACCOUNT, new HostId("r" + router), random.nextDouble(), visible),
                        requestedAtMillis);
            }
            boolean settled = step < 699 || clock.millis() - disconnectedAtMillis > 2 * LimitLeaseIssuer.LEASE_MILLIS;
            double sum = holders.stream().mapToDouble(h -> h.share(ACCOUNT)).sum();
            if (settled) {
                assertThat(sum).as("step %d", step).isLessThanOrEqualTo(1 + 1e-9);
            }
        }
    }

    @Test
    void leasesAllLeasableSharesToTheOnlyRouterWithTraffic() {
        double share = new LimitLeaseIssuer(clock).lease(ACCOUNT, new HostId("r0"), 1, 1);
        assertThat(share).isEqualTo(1 - LimitLeaseIssuer.UNLEASED_SHARE);
    }

    @Test
    void dividesByDemandAfterLeasesWereRenewed() {
        LimitLeaseIssuer issuer = new LimitLeaseIssuer(clock);
        double a = 0;
        double b = 0;
        for (int round = 0; round < 8; round++) {
            a = issuer.lease(ACCOUNT, new HostId("r0"), 0.9, 1);
            b = issuer.lease(ACCOUNT, new HostId("r1"), 0.3, 1);
            clock.advanceMillis(500);
        }
        assertThat(a + b).isCloseTo(0.75, within(1e-9));
        assertThat(b).isGreaterThan(0.2);
    }

    @Test
    void fallsBackToAnEqualShareWhenTheIssuerDoesNotReply() {
        LeasedLimitShares shares = new LeasedLimitShares(() -> ROUTERS, clock);
        shares.leaseGranted(ACCOUNT, 0.5, shares.leaseRequested(ACCOUNT));
        assertThat(shares.share(ACCOUNT)).isCloseTo(0.5 + 0.25 / ROUTERS, within(1e-9));
        clock.advanceMillis(LimitLeaseIssuer.LEASE_MILLIS);
        assertThat(shares.share(ACCOUNT)).isCloseTo(0.25 / ROUTERS, within(1e-9));
        clock.advanceMillis(LimitLeaseIssuer.LEASE_MILLIS);
        assertThat(shares.share(ACCOUNT)).isCloseTo(1.0 / ROUTERS, within(1e-9));
    }
}
