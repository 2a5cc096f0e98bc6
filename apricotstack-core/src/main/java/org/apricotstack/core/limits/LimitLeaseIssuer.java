package org.apricotstack.core.limits;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Lends parts of the limits of the client accounts whose home this router is.
 *
 * <p>A quarter of each limit belongs to the routers of the roster in equal parts and is never lent, so that a
 * router that gets its first request of an account can take it at once. The rest is lent for a short time to
 * routers with traffic, as much as they need with some headroom, and in proportion to need if that is more than
 * there is. The sum of all parts in use never passes the limit: the home keeps back a full equal part for each
 * router that it cannot see, because such a router falls back to that.
 */
public final class LimitLeaseIssuer {

    /** How long a lease is valid, in milliseconds. */
    public static final long LEASE_MILLIS = 2_000;

    /** Part of a limit that is divided equally and never lent. */
    public static final double UNLEASED_SHARE = 0.25;

    /** Factor on the demand that a lease covers, as the demand may grow until the next lease. */
    private static final double HEADROOM = 2;

    /** Least share that is wanted, so that a lease always covers some growth. */
    private static final double MIN_SHARE = 0.01;

    private final Map<ClientAccountId, Map<HostId, Lease>> leases = new HashMap<>();
    private final MonotonicClock clock;

    /**
     * Creates a home without leases.
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
     * @param host the router that asks
     * @param need tokens a second that it was asked for, as a share of the limit
     * @param visible the part of the roster that the home can see, 0 to 1
     * @return the share granted beside the router's equal part, until {@link #LEASE_MILLIS} from now
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

    /**
     * Forgets accounts whose leases have all ended, so that memory follows the traffic.
     */
    public synchronized void removeIdle() {
        long now = clock.millis();
        leases.values().forEach(activeLeases -> activeLeases.values().removeIf(lease -> lease.untilMillis <= now));
        leases.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the sum of the running leases of an account.
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
     * A granted share.
     *
     * @param share 0 to 1
     * @param wanted the share that was wanted
     * @param untilMillis when it ends, in the local clock
     */
    private record Lease(double share, double requestedShare, long untilMillis) {}
}
