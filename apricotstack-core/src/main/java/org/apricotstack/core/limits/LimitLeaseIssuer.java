package org.apricotstack.core.limits;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Leases shares of the limits of the client accounts for which this router is responsible.
 *
 * <p>A quarter of each limit is divided equally among the routers on the roster and is never leased, so that a router
 * can admit its first request of an account at once. The rest is leased for a short time to routers with traffic,
 * according to their demand with some headroom, and in proportion to demand if the total exceeds the limit. The sum of
 * all shares in use never exceeds the limit: the issuer reserves a full equal share for each router to which it is not
 * connected, because such a router falls back to that share.
 */
public final class LimitLeaseIssuer {

    /** How long a lease is valid, in milliseconds. */
    public static final long LEASE_MILLIS = 2_000;

    /** Part of a limit that is divided equally and never leased. */
    public static final double UNLEASED_SHARE = 0.25;

    /** Factor by which a lease exceeds the demand, as the demand may grow until the next lease. */
    private static final double HEADROOM = 2;

    /** Minimum requested share, so that a lease always covers some growth. */
    private static final double MIN_SHARE = 0.01;

    private final Map<ClientAccountId, Map<HostId, Lease>> leases = new HashMap<>();
    private final MonotonicClock clock;

    /**
     * Creates an issuer without leases.
     *
     * @param clock the local clock
     */
    public LimitLeaseIssuer(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Grants a lease.
     *
     * @param account the client account
     * @param host the requesting router
     * @param demand its demand in tokens per second, as a share of the limit
     * @param visibleShare share of the routers on the roster to which this issuer is connected, 0 to 1
     * @return the share granted in addition to the router's equal share, valid for {@link #LEASE_MILLIS}
     */
    public synchronized double lease(ClientAccountId account, HostId host, double demand, double visibleShare) {
        long now = clock.millis();
        Map<HostId, Lease> activeLeases = leases.computeIfAbsent(account, id -> new HashMap<>());
        activeLeases.values().removeIf(lease -> lease.untilMillis <= now);
        double leasableShare = (1 - UNLEASED_SHARE) * visibleShare;
        double requestedShare = Math.min(leasableShare, Math.max(MIN_SHARE, HEADROOM * demand));
        double othersShare = 0;
        double othersRequestedShare = 0;
        for (Map.Entry<HostId, Lease> entry : activeLeases.entrySet()) {
            if (!entry.getKey().equals(host)) {
                othersShare += entry.getValue().share;
                othersRequestedShare += entry.getValue().requestedShare;
            }
        }
        double scale = Math.min(1, leasableShare / (requestedShare + othersRequestedShare));
        double share = Math.max(0, Math.min(requestedShare * scale, leasableShare - othersShare));
        activeLeases.put(host, new Lease(share, requestedShare, now + LEASE_MILLIS));
        return share;
    }

    /** Removes accounts without active leases, so that memory use is proportional to the accounts with traffic. */
    public synchronized void removeIdle() {
        long now = clock.millis();
        leases.values().forEach(activeLeases -> activeLeases.values().removeIf(lease -> lease.untilMillis <= now));
        leases.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the sum of the active leases of an account.
     *
     * @param account the client account
     * @return the sum of the shares
     */
    public synchronized double leased(ClientAccountId account) {
        long now = clock.millis();
        return leases.getOrDefault(account, Map.of()).values().stream()
                .filter(lease -> lease.untilMillis > now)
                .mapToDouble(Lease::share)
                .sum();
    }

    /**
     * A lease of a share.
     *
     * @param share the granted share, 0 to 1
     * @param requestedShare the requested share
     * @param untilMillis expiry time, in milliseconds of the local clock
     */
    private record Lease(double share, double requestedShare, long untilMillis) {}
}
